#include "base/ids.h"

#include <xxhash.h>

#include <cstdio>
#include <random>

#include "base/time.h"

namespace ibisvalve {

Incarnation NewIncarnation() {
  // Wall-clock milliseconds in the upper bits and 16 random bits below, so that
  // the value increases from one start of a host to the next. Two of many hosts
  // that start in the same millisecond may get equal values.
  constexpr int kRandomBits = 16;
  std::random_device device;
  const uint64_t random = device() & ((1U << kRandomBits) - 1);
  return Incarnation((WallMicros() / 1000) << kRandomBits | random);
}

Digest DigestOf(const std::string& bytes) {
  return Digest(XXH3_64bits(bytes.data(), bytes.size()));
}

std::string ToHex(Digest digest) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(digest.value));
  return text;
}

std::string ToString(const AttemptId& id) {
  const std::string text_without_node =
      std::to_string(id.ingress.value) + "." + std::to_string(id.counter);
  return id.node == Digest() ? text_without_node
                             : text_without_node + "." + ToHex(id.node);
}

}  // namespace ibisvalve

#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace ibisvalve::bench {

/// A deterministic byte stream: the values of std::mt19937_64 for a seed, each
/// as eight bytes in little-endian order.
class ByteStream {
 public:
  explicit ByteStream(uint64_t seed) : random_(seed) {}

  /// Returns the next `size` bytes.
  std::string Next(size_t size);

 private:
  std::mt19937_64 random_;
  uint64_t word_ = 0;
  int left_ = 0;  // bytes of word_ not yet returned
};

}  // namespace ibisvalve::bench

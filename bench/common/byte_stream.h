#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace ibisvalve::bench {

/// Bytes that a seed determines: the values of std::mt19937_64, each as eight
/// bytes from the lowest.
class ByteStream {
 public:
  explicit ByteStream(uint64_t seed) : random_(seed) {}

  /// Returns the next `size` bytes.
  std::string Next(size_t size);

 private:
  std::mt19937_64 random_;
  uint64_t word_ = 0;
  int left_ = 0;  // bytes of word_ not given out
};

}  // namespace ibisvalve::bench

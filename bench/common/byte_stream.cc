#include "bench/common/byte_stream.h"

namespace ibisvalve::bench {

std::string ByteStream::Next(size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    if (left_ == 0) {
      word_ = random_();
      left_ = sizeof(word_);
    }
    byte = static_cast<char>(word_ & 0xff);
    word_ >>= 8;
    --left_;
  }
  return bytes;
}

}  // namespace ibisvalve::bench

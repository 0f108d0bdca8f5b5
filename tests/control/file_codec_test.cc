#include "control/file_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wire/wire.h"

namespace ibisvalve::control {
namespace {

// Guards against a file that arrives changed, with any base.
RC_GTEST_PROP(FileCodecTest, DecodesWhatItEncodes, ()) {
  const auto base = *rc::gen::arbitrary<std::string>();
  auto text = base;
  if (*rc::gen::arbitrary<bool>()) {
    text = *rc::gen::arbitrary<std::string>();
  } else if (!text.empty()) {
    text.insert(*rc::gen::inRange<size_t>(0, text.size()),
                *rc::gen::arbitrary<std::string>());
  }
  RC_ASSERT(DecodeText(EncodeText(text, base), base) == text);
  RC_ASSERT(DecodeText(EncodeText(text, ""), "") == text);
}

// Guards against malformed bytes from the network that end the process or are
// taken for a file.
RC_GTEST_PROP(FileCodecTest, RejectsOtherBytes, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  RC_ASSERT_THROWS_AS(DecodeText(bytes, "base"), wire::WireError);
}

// Guards against a short message that claims an enormous file.
TEST(FileCodecTest, RejectsATextLongerThanTheLimit) {
  const std::string encoded = EncodeText(std::string(64 << 20, 'a'), "");
  EXPECT_LT(encoded.size(), 100'000U);
  EXPECT_THROW(DecodeText(encoded, ""), wire::WireError);
}

}  // namespace
}  // namespace ibisvalve::control

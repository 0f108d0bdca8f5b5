#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wire/wire.h"

namespace ibisvalve::wire {
namespace {

ClaimRequest SampleClaim() {
  return ClaimRequest{7,
                      {ServiceName("bookdesk"), "key-1"},
                      Digest(9),
                      {{Incarnation(3), 4}, NodeId("suva-1"), Incarnation(5)},
                      1000};
}

TEST(FrameTest, RoundTrip) {
  const std::string frame = EncodeFrame(SampleClaim());
  const auto header = ParseHeader(frame);
  ASSERT_TRUE(header.has_value());
  EXPECT_EQ(header->type, ClaimRequest::kType);
  EXPECT_EQ(header->length + kFrameHeaderBytes, frame.size());
  EXPECT_EQ(Decode<ClaimRequest>(frame.substr(kFrameHeaderBytes)),
            SampleClaim());
}

TEST(FrameTest, RejectsInvalidHeaders) {
  EXPECT_THROW(ParseHeader("GET / HT"), WireError);
  std::string header = EncodeHeader({1, 10});
  header[2] = 99;
  EXPECT_THROW(ParseHeader(header), WireError);
  EXPECT_THROW(ParseHeader(EncodeHeader({1, 1000}), 999), WireError);
}

TEST(FrameTest, RejectsLengthPrefixBeyondMessage) {
  std::string bytes = Encode(std::string("abc"));
  bytes[3] = 0x7F;  // raises the length prefix to about two billion characters
  EXPECT_THROW(Decode<std::string>(bytes), WireError);
}

RC_GTEST_PROP(FrameTest,
              RandomBytesOnlyThrowWireError,
              (const std::string& bytes)) {
  try {
    Decode<ClaimRequest>(bytes);
  } catch (const WireError&) {
  }
}

}  // namespace
}  // namespace ibisvalve::wire

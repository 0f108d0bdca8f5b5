#include "dataplane/response_sender.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <variant>
#include <vector>

namespace ibisvalve::dataplane {
namespace {

// Reassembles a response from its frames, in order.
struct ReassembledResponse {
  uint64_t frames = 0;
  uint64_t largest = 0;
  std::string body;
  bool complete = false;

  void AddFrame(const GateReply& reply) {
    ++frames;
    if (const auto* head = std::get_if<wire::AnswerHead>(&reply)) {
      AddBytes(head->body, head->complete);
    } else if (const auto* part = std::get_if<wire::AnswerPart>(&reply)) {
      AddBytes(part->bytes, part->last);
    }
  }

  void AddBytes(const std::string& bytes, bool last) {
    EXPECT_FALSE(complete);
    largest = std::max<uint64_t>(largest, bytes.size());
    body += bytes;
    complete = last;
  }
};

TEST(ResponseSenderTest, BuffersASmallResponseUntilItIsComplete) {
  ReassembledResponse response;
  ResponseSender sender(
      {}, [&](const GateReply& reply) { response.AddFrame(reply); });
  sender.OnHead(200, {}, 6);
  sender.OnData("abc");
  EXPECT_EQ(response.frames, 0U);
  sender.OnData("def");
  sender.OnEnd({});
  EXPECT_EQ(response.frames, 1U);
  EXPECT_EQ(response.body, "abcdef");
  EXPECT_TRUE(response.complete);
}

TEST(ResponseSenderTest, StopsReadingWhenTheReceiverGrantsNoCredit) {
  ReassembledResponse response;
  ResponseSender sender(
      {}, [&](const GateReply& reply) { response.AddFrame(reply); });
  sender.OnHead(200, {}, 1 << 20);
  const std::string bytes(kInitialCredit + kMaxBufferedResponseBytes + 1, 'x');
  sender.OnData(bytes);
  EXPECT_EQ(response.body.size(), kInitialCredit);
  EXPECT_FALSE(sender.can_buffer_more());
  sender.AddCredit(kMaxPartBytes);
  EXPECT_EQ(response.body.size(), kInitialCredit + kMaxPartBytes);
  EXPECT_TRUE(sender.can_buffer_more());
}

RC_GTEST_PROP(ResponseSenderTest,
              TheBodyArrivesCompleteAndInOrder,
              (const std::vector<uint16_t>& parts,
               const std::vector<uint16_t>& credits,
               bool declared)) {
  std::string body;
  for (const uint16_t part : parts) {
    body += std::string(part, static_cast<char>('a' + body.size() % 26));
  }
  ReassembledResponse response;
  ResponseSender sender(
      {}, [&](const GateReply& reply) { response.AddFrame(reply); });
  sender.OnHead(200, {},
                declared ? std::optional<uint64_t>(body.size()) : std::nullopt);
  size_t offset = 0;
  size_t step = 0;
  for (const uint16_t part : parts) {
    sender.OnData(body.substr(offset, part));
    offset += part;
    if (step < credits.size()) {
      sender.AddCredit(credits[step++]);
    }
  }
  sender.OnEnd({});
  for (uint64_t rounds = 0; !sender.finished() && rounds < 100; ++rounds) {
    sender.AddCredit(kInitialCredit);
  }
  RC_ASSERT(response.complete);
  RC_ASSERT(response.body == body);
  RC_ASSERT(response.largest <= kMaxPartBytes);
}

}  // namespace
}  // namespace ibisvalve::dataplane

#include "dataplane/uplink_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "dataplane/response_sender.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;

constexpr double kMbps = 11;
constexpr double kBytesPerMs = kMbps * 1000 / 8;
constexpr uint64_t kSlice = 16 << 10;

AttemptId IdOf(uint64_t number) {
  return {Incarnation(1), number, Digest(1)};
}

// Plays a link that sends what it is handed in order. Returns the longest time
// that a small response needs until it has been sent, while `large` responses
// of 90 KB each arrive in every 100 ms for a second.
Duration LongestDelayOfSmall(int large) {
  UplinkSchedule schedule(kMbps);
  std::map<AttemptId, uint64_t> left;
  uint64_t number = 0;
  Time now{std::chrono::seconds(1)};
  Time idle_at = now;
  Duration longest{0};
  const auto send = [&](uint64_t bytes) {
    schedule.OnSent(bytes, now);
    idle_at = std::max(idle_at, now) +
              Duration(static_cast<int64_t>(static_cast<double>(bytes) /
                                            kBytesPerMs * 1000));
  };
  for (int ms = 0; ms < 1000; ++ms, now += milliseconds(1)) {
    if (ms % 100 == 0) {
      for (int i = 0; i < large; ++i) {
        left[IdOf(++number)] = 90'000;
        schedule.Add(IdOf(number), 90'000);
      }
    }
    while (const auto id = schedule.TakeNext(now)) {
      const uint64_t bytes = std::min(left[*id], kSlice);
      send(bytes);
      left[*id] -= bytes;
      if (left[*id] > 0) {
        schedule.Add(*id, left[*id]);
      }
    }
    if (ms % 14 == 0) {
      send(5'000);
      longest = std::max(longest, idle_at - now);
    }
  }
  return longest;
}

// Load: bursts of downloads beside small urgent responses, on a link of 11
// Mbit/s. Guards against small responses that wait behind whole downloads.
TEST(UplinkScheduleTest, ASmallResponseWaitsBehindASliceAtMost) {
  EXPECT_LT(LongestDelayOfSmall(1), milliseconds(35));
  EXPECT_LT(LongestDelayOfSmall(4), milliseconds(35));
}

// Guards against all large responses that end late because they share the link
// evenly.
TEST(UplinkScheduleTest, TheResponseWithTheFewestBytesLeftGoesFirst) {
  UplinkSchedule schedule(kMbps);
  const Time now{std::chrono::seconds(1)};
  schedule.Add(IdOf(1), 500'000);
  schedule.Add(IdOf(2), 90'000);
  EXPECT_EQ(schedule.TakeNext(now), IdOf(2));
  EXPECT_EQ(schedule.TakeNext(now), IdOf(1));
  EXPECT_EQ(schedule.TakeNext(now), std::nullopt);
  EXPECT_EQ(schedule.NextIn(now), std::nullopt);
}

TEST(UplinkScheduleTest, WithoutAKnownCapacityNothingWaits) {
  UplinkSchedule schedule(0);
  const Time now{std::chrono::seconds(1)};
  schedule.OnSent(1 << 30, now);
  schedule.Add(IdOf(1), 500'000);
  EXPECT_FALSE(schedule.enabled());
  EXPECT_EQ(schedule.NextIn(now), Duration(0));
}

// Guards against a response that is cut, repeated or delivered out of order
// when it is sent in slices, whatever its parts and credits.
TEST(SlicedResponseTest, ArrivesWhole) {
  const std::string body = [] {
    std::string text;
    for (int i = 0; text.size() < 300'000; ++i) {
      text += std::to_string(i);
    }
    return text;
  }();
  std::string received;
  bool last = false;
  ResponseSender sender(IdOf(1), [&](const GateReply& reply) {
    if (const auto* head = std::get_if<wire::AnswerHead>(&reply)) {
      received += head->body;
      last = head->complete;
    } else {
      const auto& part = std::get<wire::AnswerPart>(reply);
      received += part.bytes;
      last = part.last;
    }
  });
  sender.SetSliced();
  sender.OnHead(200, {}, body.size());
  for (size_t at = 0; at < body.size(); at += 7'001) {
    sender.OnData(std::string_view(body).substr(at, 7'001));
    EXPECT_TRUE(sender.can_buffer_more());
  }
  sender.OnEnd({});
  EXPECT_FALSE(sender.started());
  for (int slice = 0; slice < 100 && !sender.finished(); ++slice) {
    if (sender.wants_slice()) {
      sender.GrantSlice(kSlice);
    } else {
      sender.AddCredit(64 << 10);
    }
  }
  EXPECT_TRUE(last);
  EXPECT_EQ(received, body);
}

// A small response does not wait for the uplink.
TEST(SlicedResponseTest, ASmallResponseIsSentAtOnce) {
  int frames = 0;
  ResponseSender sender(IdOf(1), [&](const GateReply&) { ++frames; });
  sender.SetSliced();
  sender.OnHead(200, {}, 5'000);
  sender.OnData(std::string(5'000, 'x'));
  sender.OnEnd({});
  EXPECT_TRUE(sender.finished());
  EXPECT_EQ(frames, 1);
}

}  // namespace
}  // namespace ibisvalve::dataplane

#include <map>

#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

// In-memory keepers that grant and settle claims, or are unavailable.
struct FakeKeepers {
  struct Record {
    wire::ClaimHolder holder;
    Digest body;
    uint16_t status = 0;
  };

  std::map<wire::RequestKey, Record> records;
  bool available = true;

  wire::ClaimReply Claim(const wire::ClaimRequest& request) {
    if (!available) {
      return {request.call, wire::ClaimVerdict::kUnavailable, {}, 0};
    }
    const auto [found, added] = records.try_emplace(
        request.key, Record{request.holder, request.body, 0});
    const Record& record = found->second;
    if (added || record.holder == request.holder) {
      return {request.call, wire::ClaimVerdict::kGranted, record.holder, 0};
    }
    if (record.body != request.body) {
      return {request.call, wire::ClaimVerdict::kMismatch, {}, 0};
    }
    return {request.call, wire::ClaimVerdict::kTaken, record.holder,
            record.status};
  }

  void Settle(const wire::ClaimSettle& settle) {
    const auto found = records.find(settle.key);
    if (found == records.end() || found->second.holder != settle.holder) {
      return;
    }
    if (settle.status == 0) {
      records.erase(found);
    } else {
      found->second.status = settle.status;
    }
  }
};

class KeyedRequestTest : public PlaneTest {
 protected:
  KeyedRequestTest() {
    claims_.claim =
        [this](const wire::ClaimRequest& request, Duration,
               const std::function<void(const wire::ClaimReply&)>& done) {
          loop_.Post([this, request, done] { done(keepers_.Claim(request)); });
        };
    claims_.settle = [this](const wire::ClaimSettle& settle) {
      keepers_.Settle(settle);
    };
  }

  // Starts two ingresses and two gates whose targets count their runs.
  void Start() {
    for (int i = 0; i < 2; ++i) {
      targets_.push_back(
          std::make_unique<FakeTarget>(loop_, [this](evhttp_request* request) {
            ++runs_;
            if (hold_) {
              held_ = request;
            } else {
              RespondOk(request, "run " + std::to_string(runs_));
            }
          }));
    }
    first_ = &AddNode("suva-1", nullptr);
    second_ = &AddNode("suva-2", nullptr);
    WaitReady(AddNode("suva-3", targets_[0].get()));
    WaitReady(AddNode("suva-4", targets_[1].get()));
  }

  static TargetRequest Booking(const std::string& body) {
    return {"POST", "/bookings", {{"Idempotency-Key", "k1"}}, body};
  }

  FakeKeepers keepers_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  Node* first_ = nullptr;
  Node* second_ = nullptr;
  int runs_ = 0;
  bool hold_ = false;
  evhttp_request* held_ = nullptr;
};

TEST_F(KeyedRequestTest, ARepeatedRequestGetsTheResponseOfTheFirstRun) {
  Start();
  for (int i = 0; i < 6; ++i) {
    const CallerResponse response =
        Fetch(i % 2 == 0 ? *first_ : *second_, Booking("two seats"));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "run 1");
    EXPECT_EQ(response.Get("Ibis-Outcome"), "answered");
  }
  EXPECT_EQ(runs_, 1);
}

TEST_F(KeyedRequestTest, ARepeatedRequestWaitsForTheRunInProgress) {
  Start();
  hold_ = true;
  const auto first = Send(*first_, Booking("a"));
  RunUntil([&] { return held_ != nullptr; });
  const auto second = Send(*second_, Booking("a"));
  const auto third = Send(*first_, Booking("a"));
  net::Timer later(loop_, [&] { RespondOk(held_, "booked"); });
  later.StartOnce(std::chrono::milliseconds(50));
  RunUntil([&] { return ended_ == sent_; });
  EXPECT_EQ(first->body, "booked");
  EXPECT_EQ(second->body, "booked");
  EXPECT_EQ(third->body, "booked");
  EXPECT_EQ(runs_, 1);
}

TEST_F(KeyedRequestTest, ARunContinuesWhenItsCallerDisconnects) {
  Start();
  hold_ = true;
  Send(*first_, Booking("a"));
  RunUntil([&] { return held_ != nullptr; });
  calls_.clear();
  RunUntil([&] { return !first_->records.empty(); });
  const auto again = Send(*second_, Booking("a"));
  net::Timer later(loop_, [&] { RespondOk(held_, "booked"); });
  later.StartOnce(std::chrono::milliseconds(50));
  RunUntil([&] { return again->whole; });
  EXPECT_EQ(again->body, "booked");
  EXPECT_EQ(runs_, 1);
}

TEST_F(KeyedRequestTest, TheSameKeyWithAnotherBodyIsRefused) {
  Start();
  Fetch(*first_, Booking("two seats"));
  const CallerResponse other = Fetch(*second_, Booking("three seats"));
  EXPECT_EQ(other.status, 422);
  EXPECT_EQ(other.Get("Ibis-Reason"), "key-mismatch");
  EXPECT_EQ(runs_, 1);
}

TEST_F(KeyedRequestTest, NothingRunsWhileKeepersAreUnavailable) {
  Start();
  keepers_.available = false;
  const CallerResponse response = Fetch(*first_, Booking("a"));
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.Get("Ibis-Outcome"), "not-run");
  EXPECT_EQ(response.Get("Ibis-Reason"), "no-quorum");
  EXPECT_EQ(runs_, 0);
  keepers_.available = true;
  EXPECT_EQ(Fetch(*first_, Booking("a")).body, "run 1");
}

TEST_F(KeyedRequestTest, AKeyIsReleasedWhenTheTargetWasNeverReached) {
  service_.measuring.reports_per_second = 0.1;
  Start();
  targets_.clear();
  const CallerResponse response = Fetch(*first_, Booking("a"));
  EXPECT_EQ(response.Get("Ibis-Outcome"), "not-run");
  EXPECT_TRUE(keepers_.records.empty());
}

TEST_F(KeyedRequestTest, AResponseThatIsNoLongerStoredIsReportedWithItsStatus) {
  Start();
  Fetch(*first_, Booking("a"));
  // Makes the holder look restarted, so that its response is no longer
  // available.
  for (auto& [key, record] : keepers_.records) {
    record.holder.gate_incarnation = Incarnation(1);
  }
  const CallerResponse again = Fetch(*second_, Booking("a"));
  EXPECT_EQ(again.status, 502);
  EXPECT_EQ(again.Get("Ibis-Outcome"), "unknown");
  EXPECT_EQ(again.Get("Ibis-First-Status"), "200");
  EXPECT_EQ(runs_, 1);
}

TEST_F(KeyedRequestTest, ARequestWithoutARequiredKeyIsRefused) {
  service_.contracts[0].key = world::KeyRule::kRequired;
  Start();
  const CallerResponse response =
      Fetch(*first_, {"POST", "/bookings", {}, "a"});
  EXPECT_EQ(response.status, 400);
  EXPECT_EQ(response.Get("Ibis-Reason"), "key-required");
}

}  // namespace
}  // namespace ibisvalve::dataplane

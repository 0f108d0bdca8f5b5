#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

TEST_F(PlaneTest, ASlowRequestIsHedgedAndTheSlowerAttemptCancelled) {
  evhttp_request* held = nullptr;
  const auto handler = [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/slow" &&
        held == nullptr) {
      held = request;
    } else {
      RespondOk(request, "quick");
    }
  };
  FakeTarget one(loop_, handler);
  FakeTarget two(loop_, handler);
  Node& ingress = AddNode("suva-1", nullptr);
  Node& first = AddNode("suva-2", &one);
  Node& second = AddNode("suva-3", &two);
  WaitReady(first);
  WaitReady(second);
  constexpr int kSamples = 100;  // enough to estimate the usual latency
  for (int i = 0; i < kSamples; ++i) {
    Fetch(ingress, {"GET", "/rooms", {}, ""});
  }
  // Hedges of the sample requests may have been cancelled too.
  const auto cancelled = [&] {
    return Metric(first, "ibis_gate_cancelled_total") +
           Metric(second, "ibis_gate_cancelled_total");
  };
  const double before = cancelled();
  const CallerResponse response = Fetch(ingress, {"GET", "/slow", {}, ""});
  EXPECT_EQ(response.body, "quick");
  EXPECT_EQ(response.Get("Ibis-Attempts"), "2");
  EXPECT_TRUE(ingress.records.back().hedged);
  RunUntil([&] {
    return Metric(first, "ibis_gate_in_flight") == 0 &&
           Metric(second, "ibis_gate_in_flight") == 0;
  });
  EXPECT_EQ(cancelled() - before, 1);
}

// Guards against a hedge at a second target where the retry settings allow
// only one attempt.
TEST_F(PlaneTest, HedgesDoNotExceedTheMaximumNumberOfAttempts) {
  service_.retry.max_attempts = 1;
  size_t slow = 0;
  std::vector<evhttp_request*> held;
  const auto handler = [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/slow") {
      ++slow;
      held.push_back(request);
    } else {
      RespondOk(request, "quick");
    }
  };
  FakeTarget one(loop_, handler);
  FakeTarget two(loop_, handler);
  Node& ingress = AddNode("suva-1", nullptr);
  WaitReady(AddNode("suva-2", &one));
  WaitReady(AddNode("suva-3", &two));
  constexpr int kSamples = 100;  // enough to estimate the usual latency
  for (int i = 0; i < kSamples; ++i) {
    Fetch(ingress, {"GET", "/rooms", {}, ""});
  }
  const auto response = Send(ingress, {"GET", "/slow", {}, ""});
  net::Timer later(loop_, [this] { loop_.Stop(); });
  later.StartOnce(std::chrono::milliseconds(300));
  loop_.Run();
  EXPECT_EQ(slow, 1U);
  EXPECT_EQ(Metric(ingress, "ibis_ingress_hedges_total"), 0);
  for (evhttp_request* request : held) {
    RespondOk(request, "late");
  }
  RunUntil([&] { return response->whole; });
}

}  // namespace
}  // namespace ibisvalve::dataplane

#include <gmock/gmock.h>

#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"

namespace ibisvalve::dataplane {
namespace {

constexpr char kLookup[] = "GET /rooms HTTP/1.1\r\nHost: bookdesk\r\n\r\n";

TEST_F(PlaneTest, ACallerThatHangsUpCancelsTheRunAtTheTarget) {
  RawServer target(loop_, "", AfterResponse::kKeepOpen);
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", target.local());
  WaitReady(gate);
  RawClient caller(loop_, ingress.plane->callers());
  caller.Write(kLookup);
  RunUntil([&] { return target.requests() == 1; });
  caller.Close();
  RunUntil([&] { return target.closed() == 1; });
  ASSERT_EQ(ingress.records.size(), 1U);
  EXPECT_TRUE(ingress.records.back().hung_up);
  EXPECT_EQ(Metric(gate, "ibis_gate_in_flight"), 0);
}

TEST_F(PlaneTest, ACallerThatResetsItsConnectionCancelsTheRun) {
  RawServer target(loop_, "", AfterResponse::kKeepOpen);
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", target.local());
  WaitReady(gate);
  RawClient caller(loop_, ingress.plane->callers());
  caller.Write(kLookup);
  RunUntil([&] { return target.requests() == 1; });
  caller.Reset();
  RunUntil([&] { return target.closed() == 1; });
  ASSERT_EQ(ingress.records.size(), 1U);
  EXPECT_TRUE(ingress.records.back().hung_up);
}

// The slower attempt of every hedged request is cancelled, so a cancelled run
// must not count as a failure of its target.
TEST_F(PlaneTest, ACancelledRunDoesNotCountAsAFailureOfTheTarget) {
  RawServer target(loop_, "", AfterResponse::kKeepOpen);
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", target.local());
  WaitReady(gate);
  RawClient caller(loop_, ingress.plane->callers());
  caller.Write(kLookup);
  RunUntil([&] { return target.requests() == 1; });
  caller.Close();
  RunUntil([&] { return target.closed() == 1; });
  EXPECT_EQ(Metric(gate, "ibis_gate_cancelled_total"), 1);
  EXPECT_THAT(gate.plane->StatusJson(),
              testing::HasSubstr("\"failures\":0.0,"));
}

TEST_F(PlaneTest, DeadlineAndDepthArePassedToTheTarget) {
  FakeTarget target(loop_,
                    [](evhttp_request* request) { RespondOk(request, "x"); });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  Fetch(
      node,
      {"GET",
       "/",
       {{"Ibis-Depth", "6"}, {"Ibis-Deadline-Ms", "700"}, {"Ibis-Retry", "1"}},
       ""});
  EXPECT_EQ(*FindHeader(target.headers(), "Ibis-Depth"), "7");
  EXPECT_LE(*ParseNumber(*FindHeader(target.headers(), "Ibis-Deadline-Ms")),
            700U);
  EXPECT_EQ(*FindHeader(target.headers(), "Ibis-Retry"), "1");
  const CallerResponse deep =
      Fetch(node, {"GET", "/", {{"Ibis-Depth", "7"}}, ""});
  EXPECT_EQ(deep.status, 400);
  EXPECT_EQ(target.seen().size(), 1U);
}

TEST_F(PlaneTest, AnExpiredRequestIsNotStarted) {
  slots_ = 1;
  service_.limits.queue = std::chrono::seconds(10);
  evhttp_request* held = nullptr;
  FakeTarget target(loop_, [&](evhttp_request* request) { held = request; });
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  Send(ingress, {"GET", "/first", {}, ""});
  RunUntil([&] { return held != nullptr; });
  const auto queued =
      Send(ingress, {"POST", "/bookings", {{"Ibis-Deadline-Ms", "60"}}, "a"});
  RunUntil([&] { return queued->whole; });
  EXPECT_EQ(queued->status, 503);
  EXPECT_EQ(queued->Get("Ibis-Outcome"), "not-run");
  EXPECT_EQ(queued->Get("Ibis-Reason"), "deadline");
  RespondOk(held, "x");
  RunUntil([&] { return ended_ == sent_; });
  EXPECT_EQ(target.seen().size(), 1U);
}

TEST_F(PlaneTest, ARunThatExceedsItsDeadlineHasAnUnknownOutcome) {
  FakeTarget target(loop_, [](evhttp_request*) {});
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  const CallerResponse late =
      Fetch(ingress, {"POST", "/bookings", {{"Ibis-Deadline-Ms", "60"}}, "a"});
  EXPECT_EQ(late.status, 504);
  EXPECT_EQ(late.Get("Ibis-Outcome"), "unknown");
}

}  // namespace
}  // namespace ibisvalve::dataplane

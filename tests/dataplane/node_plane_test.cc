#include "dataplane/dataplane.h"

#include <event2/bufferevent.h>

#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

TEST_F(PlaneTest, ForwardsARequestThroughTheMeshAndReturnsTheResponse) {
  FakeTarget target(loop_, [](evhttp_request* request) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Seat",
                      "14");
    RespondOk(request, "echo:" + BodyOf(request));
  });
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  const CallerResponse response =
      Fetch(ingress, {"POST", "/bookings?x=1", {{"X-A", "b"}}, "two seats"});
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "echo:two seats");
  EXPECT_EQ(response.Get("X-Seat"), "14");
  EXPECT_EQ(response.Get("Ibis-Outcome"), "answered");
  EXPECT_EQ(response.Get("Ibis-Attempts"), "1");
  EXPECT_EQ(target.seen(), std::vector<std::string>{"/bookings?x=1"});
  EXPECT_EQ(*FindHeader(target.headers(), "X-A"), "b");
  EXPECT_EQ(*FindHeader(target.headers(), "Ibis-Depth"), "0");
  ASSERT_EQ(ingress.records.size(), 1U);
  EXPECT_EQ(ingress.records[0].gate, NodeId("suva-2"));
  EXPECT_EQ(ingress.records[0].outcome, world::Outcome::kAnswered);
}

TEST_F(PlaneTest, UsesTheLocalTargetWithoutAMeshLink) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { RespondOk(request, "here"); });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  EXPECT_EQ(Fetch(node, {"GET", "/rooms", {}, ""}).body, "here");
}

TEST_F(PlaneTest, EachResponseReachesTheCallerOfItsRequest) {
  FakeTarget target(loop_, [](evhttp_request* request) {
    RespondOk(request, evhttp_request_get_uri(request));
  });
  slots_ = 1000;
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  std::vector<std::shared_ptr<CallerResponse>> responses;
  constexpr size_t kRequests = 200;
  for (size_t i = 0; i < kRequests; ++i) {
    responses.push_back(
        Send(ingress, {"GET", "/rooms/" + std::to_string(i), {}, ""}));
  }
  RunUntil([&] { return ended_ == kRequests; });
  for (size_t i = 0; i < kRequests; ++i) {
    EXPECT_EQ(responses[i]->body, "/rooms/" + std::to_string(i));
  }
}

// Guards against responses being delivered to the wrong node when incarnations
// collide. An incarnation consists of the start time in milliseconds and 16
// random bits, so if 81 nodes start together once a day, two of them share an
// incarnation on 1 day in 20.
TEST_F(PlaneTest, NodesWithTheSameIncarnationGetTheirOwnResponses) {
  FakeTarget target(loop_, [](evhttp_request* request) {
    RespondOk(request, evhttp_request_get_uri(request));
  });
  same_incarnation_ = true;
  Node& first = AddNode("suva-1", nullptr);
  Node& second = AddNode("suva-2", nullptr);
  Node& gate = AddNode("suva-3", &target);
  WaitReady(gate);
  EXPECT_EQ(Fetch(first, {"GET", "/rooms/first", {}, ""}).body, "/rooms/first");
  EXPECT_EQ(Fetch(second, {"GET", "/rooms/second", {}, ""}).body,
            "/rooms/second");
}

TEST_F(PlaneTest, RefusesWithOutcomeNotRunIfNoTargetAcceptsTheRequest) {
  FakeTarget target(loop_,
                    [](evhttp_request* request) { RespondOk(request, "x"); });
  Node& ingress = AddNode("suva-1", nullptr);
  const CallerResponse none = Fetch(ingress, {"POST", "/bookings", {}, "a"});
  EXPECT_EQ(none.status, 503);
  EXPECT_EQ(none.Get("Ibis-Outcome"), "not-run");
  EXPECT_EQ(none.Get("Ibis-Reason"), "no-target");

  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  const CallerResponse unknown =
      Fetch(ingress, {"GET", "/", {{"Ibis-Service", "nothing"}}, ""});
  EXPECT_EQ(unknown.status, 404);

  gate.plane->Drain();
  gate.member.target = world::TargetState::kReady;
  UpdateMember(gate.member);  // the ingress does not know of the drain yet
  const CallerResponse draining =
      Fetch(ingress, {"POST", "/bookings", {}, "a"});
  EXPECT_EQ(draining.status, 503);
  EXPECT_EQ(draining.Get("Ibis-Reason"), "draining");

  gate.plane->Undrain();
  EXPECT_EQ(Fetch(ingress, {"POST", "/bookings", {}, "a"}).status, 200);

  ingress.view.SetLeaseCheck([] { return false; });
  EXPECT_EQ(Fetch(ingress, {"GET", "/", {}, ""}).Get("Ibis-Reason"),
            "isolated");
  EXPECT_EQ(target.seen().size(), 1U);
}

TEST_F(PlaneTest, OnlyRepeatableRequestsAreRetriedAfterABrokenConnection) {
  // Closes every connection without sending a response.
  const auto breaks = [](evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
             SHUT_RDWR);
  };
  FakeTarget bad(loop_, breaks);
  FakeTarget good(loop_,
                  [](evhttp_request* request) { RespondOk(request, "ok"); });
  Node& ingress = AddNode("suva-1", nullptr);
  Node& broken = AddNode("suva-2", &bad);
  WaitReady(broken);
  const CallerResponse booking = Fetch(ingress, {"POST", "/bookings", {}, "a"});
  EXPECT_EQ(booking.status, 502);
  EXPECT_EQ(booking.Get("Ibis-Outcome"), "unknown");
  EXPECT_EQ(booking.Get("Ibis-Reason"), "target-broke");
  EXPECT_EQ(bad.seen().size(), 1U);

  Node& whole = AddNode("suva-3", &good);
  WaitReady(whole);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Fetch(ingress, {"GET", "/rooms", {}, ""}).body, "ok");
  }
  EXPECT_GT(bad.seen().size(), 1U);
}

TEST_F(PlaneTest, AStoppedTargetYieldsOutcomeNotRun) {
  auto target = std::make_unique<FakeTarget>(
      loop_, [](evhttp_request* request) { RespondOk(request, "x"); });
  service_.measuring.reports_per_second = 0.1;
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", target.get());
  WaitReady(gate);
  target = nullptr;
  const CallerResponse response =
      Fetch(ingress, {"POST", "/bookings", {}, "a"});
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.Get("Ibis-Outcome"), "not-run");
  EXPECT_EQ(response.Get("Ibis-Reason"), "target-down");
}

TEST_F(PlaneTest, StopWaitsForRequestsInFlight) {
  evhttp_request* held = nullptr;
  FakeTarget target(loop_, [&](evhttp_request* request) { held = request; });
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  const auto response = Send(ingress, {"POST", "/bookings", {}, "a"});
  RunUntil([&] { return held != nullptr; });
  bool stopped = false;
  gate.plane->Stop(std::chrono::seconds(20), [&] { stopped = true; });
  net::Timer later(loop_, [&] {
    EXPECT_FALSE(stopped);
    RespondOk(held, "done");
  });
  later.StartOnce(std::chrono::milliseconds(50));
  RunUntil([&] { return stopped && ended_ == sent_; });
  EXPECT_EQ(response->body, "done");
}

// Guards against requests that run at a target of which it is not known yet
// whether it has departed.
TEST_F(PlaneTest, AHeldTargetRunsNothing) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { RespondOk(request, "fine"); });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  node.plane->SetTargetHeld(true);
  const CallerResponse refused = Fetch(node, {"GET", "/rooms", {}, ""});
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.Get("Ibis-Outcome"), "not-run");
  EXPECT_TRUE(target.seen().empty());
  node.plane->SetTargetHeld(false);
  EXPECT_EQ(Fetch(node, {"GET", "/rooms", {}, ""}).status, 200);
}

}  // namespace
}  // namespace ibisvalve::dataplane

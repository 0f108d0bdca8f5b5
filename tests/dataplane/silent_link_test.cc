#include "dataplane/fault_relay.h"
#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

// Fixture with an ingress that reaches its only gate through a FaultRelay.
class SilentLinkTest : public PlaneTest {
 protected:
  SilentLinkTest() { link_silence_ = std::chrono::milliseconds(80); }

  void Start(const FakeTarget& target) {
    ingress_ = &AddNode("suva-1", nullptr);
    gate_ = &AddNode("suva-2", &target);
    relay_.SetTarget(gate_->plane->mesh());
    gate_->member.mesh = relay_.local();
    UpdateMember(gate_->member);
    WaitReady(*gate_);
    // Opens the mesh link before faults are injected.
    Fetch(*ingress_, {"GET", "/warm", {}, ""});
  }

  FaultRelay relay_{loop_};
  Node* ingress_ = nullptr;
  Node* gate_ = nullptr;
};

const TargetRequest kBooking{"POST", "/bookings", {}, "two seats"};

size_t CountBookings(const FakeTarget& target) {
  return static_cast<size_t>(
      std::count(target.seen().begin(), target.seen().end(), "/bookings"));
}

TEST_F(SilentLinkTest, ARunningAttemptIsRecoveredOverANewLink) {
  evhttp_request* held = nullptr;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/warm") {
      RespondOk(request, "warm");
    } else {
      held = request;
    }
  });
  Start(target);
  const auto response = Send(*ingress_, kBooking);
  RunUntil([&] { return held != nullptr; });
  relay_.Stall(FaultRelay::Direction::kBoth);
  RunUntil([&] { return relay_.connections() == 2; });
  RespondOk(held, "booked");
  RunUntil([&] { return ended_ == sent_; });
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "booked");
  EXPECT_EQ(response->Get("Ibis-Attempts"), "1");
  EXPECT_EQ(CountBookings(target), 1U);
  EXPECT_EQ(Metric(*ingress_, "ibis_ingress_queries_total"), 1);
}

TEST_F(SilentLinkTest, ALostResponseIsSentAgain) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { RespondOk(request, "booked"); });
  Start(target);
  relay_.Stall(FaultRelay::Direction::kBackward);
  const CallerResponse response = Fetch(*ingress_, kBooking);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "booked");
  EXPECT_EQ(CountBookings(target), 1U);
}

TEST_F(SilentLinkTest, AnAttemptThatNeverArrivedIsFencedAndNeverRuns) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { RespondOk(request, "booked"); });
  Start(target);
  relay_.Stall(FaultRelay::Direction::kForward);
  const CallerResponse response = Fetch(*ingress_, kBooking);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.Get("Ibis-Outcome"), "not-run");
  EXPECT_EQ(response.Get("Ibis-Reason"), "fenced");
  EXPECT_EQ(Metric(*gate_, "ibis_gate_fenced_total"), 1);
  // The delayed frame now reaches the gate.
  relay_.Resume();
  Fetch(*ingress_, {"GET", "/later", {}, ""});
  EXPECT_EQ(CountBookings(target), 0U);
}

TEST_F(SilentLinkTest, AnAttemptOnAResetLinkIsRecovered) {
  evhttp_request* held = nullptr;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/warm") {
      RespondOk(request, "warm");
    } else {
      held = request;
    }
  });
  Start(target);
  const auto response = Send(*ingress_, kBooking);
  RunUntil([&] { return held != nullptr; });
  relay_.Reset();
  RunUntil([&] { return relay_.connections() == 1; });
  RespondOk(held, "booked");
  RunUntil([&] { return ended_ == sent_; });
  EXPECT_EQ(response->body, "booked");
  EXPECT_EQ(CountBookings(target), 1U);
}

// Guards against a request that waits until its deadline for the rest of a body
// that was lost with its link.
TEST_F(SilentLinkTest, ABodyThatWasOnALostLinkIsSentAgain) {
  const std::string body(8 << 20, 'x');
  service_.limits.request_body = body.size();
  FakeTarget target(loop_, [&](evhttp_request* request) {
    RespondOk(request, std::to_string(BodyOf(request).size()));
  });
  Start(target);
  const Time start = loop_.Now();
  const auto response = Send(*ingress_, {"POST", "/bookings", {}, body});
  RunUntil([&] { return Metric(*gate_, "ibis_gate_in_flight") == 1; });
  relay_.Stall(FaultRelay::Direction::kBoth);
  RunUntil([&] { return ended_ == sent_; });
  EXPECT_EQ(response->status, 200) << response->body;
  EXPECT_EQ(response->body, std::to_string(body.size()));
  EXPECT_LT(loop_.Now() - start, service_.deadline / 2);
  EXPECT_EQ(CountBookings(target), 1U);
}

TEST_F(SilentLinkTest, ARestartedGateLeavesTheOutcomeUnknown) {
  evhttp_request* held = nullptr;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/warm") {
      RespondOk(request, "warm");
    } else {
      held = request;
    }
  });
  Start(target);
  const auto response = Send(*ingress_, kBooking);
  RunUntil([&] { return held != nullptr; });
  // A new process of the same node replaces the gate.
  Node& restarted = AddNode("suva-2", &target);
  relay_.SetTarget(restarted.plane->mesh());
  restarted.member.mesh = relay_.local();
  UpdateMember(restarted.member);
  relay_.Stall(FaultRelay::Direction::kBoth);
  RunUntil([&] { return ended_ == sent_; });
  EXPECT_EQ(response->status, 502);
  EXPECT_EQ(response->Get("Ibis-Outcome"), "unknown");
  EXPECT_EQ(response->Get("Ibis-Reason"), "gate-restarted");
  EXPECT_EQ(CountBookings(target), 1U);
}

TEST_F(SilentLinkTest, AnExitedGateLeavesTheOutcomeUnknownAtOnce) {
  evhttp_request* held = nullptr;
  FakeTarget target(loop_, [&](evhttp_request* request) { held = request; });
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  const auto response = Send(ingress, kBooking);
  RunUntil([&] { return held != nullptr; });
  gate.plane.reset();
  RunUntil([&] { return ended_ == sent_; });
  EXPECT_EQ(response->status, 502);
  EXPECT_EQ(response->Get("Ibis-Outcome"), "unknown");
  EXPECT_EQ(response->Get("Ibis-Reason"), "link-lost");
}

TEST_F(SilentLinkTest, HeartbeatsAreSentOnlyWhileAttemptsAreInFlight) {
  FakeTarget target(loop_,
                    [](evhttp_request* request) { RespondOk(request, "x"); });
  Start(target);
  const double before = Metric(*ingress_, "ibis_measuring_heartbeats_total");
  net::Timer timer(loop_, [this] { loop_.Stop(); });
  timer.StartOnce(3 * link_silence_);
  loop_.Run();
  EXPECT_EQ(Metric(*ingress_, "ibis_measuring_heartbeats_total"), before);
}

}  // namespace
}  // namespace ibisvalve::dataplane

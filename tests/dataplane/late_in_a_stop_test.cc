#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;

// Fixture with a node whose target answers after 300 ms and which stops within
// one second, as requests of callers arrive.
class LateInAStopTest : public PlaneTest {
 protected:
  static constexpr Duration kStopLimit = std::chrono::seconds(1);

  LateInAStopTest() { service_.deadline = milliseconds(400); }

  // Opens a connection that has sent all of a request but the last byte, stops
  // the node, sends that byte `delay` later and ends the node at the limit, as
  // its process would. Returns what the caller received.
  std::string StopAndSend(Duration delay) {
    Node& node = AddNode("suva-1", &target_);
    Node& peer = AddNode("suva-2", &peer_target_);
    WaitReady(node);
    WaitReady(peer);
    RawClient caller(loop_, node.plane->callers());
    caller.Write(
        "POST /bookings HTTP/1.1\r\nHost: bookdesk\r\n"
        "Content-Length: 6\r\n\r\na sea");
    RunFor(milliseconds(20));
    bool stopped = false;
    const Time start = loop_.Now();
    node.plane->Stop(kStopLimit, [&] { stopped = true; });
    RunFor(delay);
    caller.Write("t");
    RunUntil([&] { return stopped; });
    took_ = loop_.Now() - start;
    node.plane = nullptr;  // the process exits
    RunUntil([&] { return caller.closed(); });
    return caller.received();
  }

  void RunFor(Duration time) {
    const Time end = loop_.Now() + time;
    RunUntil([&] { return loop_.Now() >= end; });
  }

  size_t Runs() const {
    return target_.seen().size() + peer_target_.seen().size();
  }

  void AnswerLate(evhttp_request* request) {
    timers_.push_back(std::make_unique<net::Timer>(
        loop_, [request] { RespondOk(request, "booked"); }));
    timers_.back()->StartOnce(milliseconds(300));
  }

  FakeTarget target_{loop_,
                     [this](evhttp_request* request) { AnswerLate(request); }};
  FakeTarget peer_target_{
      loop_, [this](evhttp_request* request) { AnswerLate(request); }};
  std::vector<std::unique_ptr<net::Timer>> timers_;
  Duration took_{0};
};

// Guards against requests that are taken late in a planned stop and cut off
// without an answer at its end, while a target runs them.
TEST_F(LateInAStopTest, ARequestThatCannotEndBeforeTheStopIsRefusedAtOnce) {
  const std::string received = StopAndSend(kStopLimit - milliseconds(200));
  EXPECT_EQ(received.rfind("HTTP/1.1 503", 0), 0U) << received;
  EXPECT_NE(received.find("Ibis-Outcome: not-run"), std::string::npos);
  EXPECT_EQ(Runs(), 0U);
  EXPECT_LT(took_, kStopLimit);
}

// Guards against a planned stop that ends while a request is being received, so
// that the request is passed on and cut off when the process exits.
TEST_F(LateInAStopTest, AStopWaitsForARequestThatIsBeingReceived) {
  const std::string received = StopAndSend(milliseconds(200));
  EXPECT_EQ(received.rfind("HTTP/1.1 200", 0), 0U) << received;
  EXPECT_EQ(Runs(), 1U);
}

}  // namespace
}  // namespace ibisvalve::dataplane

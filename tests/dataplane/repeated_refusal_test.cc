#include <optional>

#include "dataplane/plane_fixture.h"
#include "dataplane/scripted_target.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;

// Returns a refusal for the request `id`; without an id if it is empty.
std::string Refusal(const std::string& id) {
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" +
         (id.empty() ? "" : "Request-Id: " + id + "\r\n") +
         "Content-Length: 5\r\n\r\nfull\n";
}

std::string Answer(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: 6\r\n\r\nbooked";
}

// Fixture with one target that refuses the first request. It runs the second
// one and answers it after 30 ms; if that request came on the connection of the
// first, it writes some stale bytes before.
class RepeatedRefusalTest : public PlaneTest {
 protected:
  RepeatedRefusalTest() {
    names_.request_id = "Request-Id";
    names_.not_run = "Not-Executed";
  }

  // Sends the bookings `first` and `second` and returns the response to the
  // latter.
  CallerResponse SendBoth(const std::string& first,
                          const std::string& second,
                          const std::string& stale) {
    const Node& gate = AddNode("suva-1", target_.local());
    WaitReady(gate);
    script_ = [=, this](size_t number, const ScriptedTarget::Write& write) {
      if (++requests_ == 1) {
        write(Refusal(first));
        return;
      }
      if (number > 1) {
        write(stale);
      }
      answer_timer_.emplace(loop_, [=] { write(Answer(second)); });
      answer_timer_->StartOnce(milliseconds(30));
    };
    const CallerResponse refused = Fetch(gate, Booking(first));
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.Get("Ibis-Outcome"), "not-run");
    CallerResponse response = Fetch(gate, Booking(second));
    EXPECT_EQ(requests_, 2);
    return response;
  }

  static TargetRequest Booking(const std::string& id) {
    return {"POST", "/bookings", {{"Request-Id", id}}, "a seat"};
  }

  ScriptedTarget::Script script_;
  ScriptedTarget target_{
      loop_, [this](size_t number, const ScriptedTarget::Write& write) {
        script_(number, write);
      }};
  std::optional<net::Timer> answer_timer_;
  int requests_ = 0;
};

// Guards against a caller that is told "not run" while its request runs, since
// the target repeats an earlier refusal without an id.
TEST_F(RepeatedRefusalTest, AnEarlierRefusalWithoutAnIdIsNoProof) {
  const CallerResponse response = SendBoth("r-1", "r-2", Refusal(""));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "booked");
}

// Guards against the same where the refusal names the request that got it.
TEST_F(RepeatedRefusalTest, AnEarlierRefusalOfAnotherRequestIsNoProof) {
  const CallerResponse response = SendBoth("r-1", "r-2", Refusal("r-1"));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "booked");
}

// Guards against the same where the request that was refused is sent once more
// under its id.
TEST_F(RepeatedRefusalTest, AnEarlierRefusalOfTheSameRequestIsNoProof) {
  const CallerResponse response = SendBoth("r-1", "r-1", Refusal("r-1"));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "booked");
}

// Guards against an error that answers an earlier request and has no id.
TEST_F(RepeatedRefusalTest, AnEarlierErrorWithoutAnIdIsNoResponse) {
  const CallerResponse response = SendBoth(
      "r-1", "r-2",
      "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "booked");
}

// Guards against proofs that are not believed any longer: nothing was sent on a
// new connection before, so its first response belongs to the request.
TEST_F(RepeatedRefusalTest, ARefusalWithoutAnIdOnANewConnectionIsAProof) {
  const Node& gate = AddNode("suva-1", target_.local());
  WaitReady(gate);
  script_ = [](size_t, const ScriptedTarget::Write& write) {
    write(Refusal(""));
  };
  const CallerResponse response = Fetch(gate, Booking("r-1"));
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.Get("Ibis-Outcome"), "not-run");
}

}  // namespace
}  // namespace ibisvalve::dataplane

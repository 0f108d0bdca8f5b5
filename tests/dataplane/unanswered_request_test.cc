#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"
#include "dataplane/scripted_target.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kPartBytes = 128 << 10;

std::string Request(const std::string& uri, int deadline_ms = 3000) {
  return "POST " + uri +
         " HTTP/1.1\r\nHost: bookdesk\r\nContent-Length: 0\r\n"
         "Ibis-Deadline-Ms: " +
         std::to_string(deadline_ms) + "\r\n\r\n";
}

std::string WholeResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Fixture with an ingress and a target of another node that runs a script.
class UnansweredRequestTest : public PlaneTest {
 protected:
  void Start(ScriptedTarget::Script script) {
    target_ = std::make_unique<ScriptedTarget>(loop_, std::move(script));
    WaitReady(AddNode("suva-2", target_->local()));
    ingress_ = &AddNode("suva-1", nullptr);
  }

  void After(Duration delay, std::function<void()> action) {
    timers_.push_back(std::make_unique<net::Timer>(loop_, std::move(action)));
    timers_.back()->StartOnce(delay);
  }

  void RunFor(Duration time) {
    const Time end = loop_.Now() + time;
    RunUntil([&] { return loop_.Now() >= end; });
  }

  std::unique_ptr<ScriptedTarget> target_;
  Node* ingress_ = nullptr;
  std::vector<std::unique_ptr<net::Timer>> timers_;
};

size_t Count(const std::string& text, const std::string& part) {
  size_t found = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++found;
  }
  return found;
}

// Guards against a response that breaks off and closes the connection, although
// an earlier pipelined request on it is still being run.
TEST_F(UnansweredRequestTest, ABrokenResponseLeavesEarlierRequestsAnswered) {
  size_t requests = 0;
  Start([&](size_t, const ScriptedTarget::Write& write) {
    ++requests;
    if (requests == 1) {
      After(milliseconds(300), [write] { write(WholeResponse("first")); });
    } else if (requests == 2) {
      // The size of the second chunk is no number.
      write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" +
            std::string(kPartBytes, 'x') + "\r\nzz\r\n");
    } else {
      write(WholeResponse("third"));
    }
  });
  RawClient caller(loop_, ingress_->plane->callers());
  for (const char* uri : {"/bookings/1", "/bookings/2", "/bookings/3"}) {
    caller.Write(Request(uri));
    RunFor(milliseconds(30));
  }
  RunUntil([&] {
    return caller.closed() || Count(caller.received(), "HTTP/1.1") == 3;
  });
  EXPECT_EQ(requests, 3U);
  const std::string& received = caller.received();
  EXPECT_EQ(Count(received, "HTTP/1.1 200"), 2U) << received.substr(0, 500);
  EXPECT_EQ(Count(received, "HTTP/1.1 502"), 1U);
  EXPECT_LT(received.find("first"), received.find("HTTP/1.1 502"));
  EXPECT_LT(received.find("HTTP/1.1 502"), received.find("third"));
  EXPECT_EQ(Count(received, "xx"), 0U);
}

// Guards against a caller that is left without an end of its response for 10 s
// after its deadline, because a part of it came before the target fell silent.
TEST_F(UnansweredRequestTest, AResponseThatStallsEndsSoonAfterTheDeadline) {
  Start([](size_t, const ScriptedTarget::Write& write) {
    write(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * kPartBytes) +
        "\r\n\r\n" + std::string(kPartBytes, 'x'));
  });
  constexpr int kDeadlineMs = 600;
  RawClient caller(loop_, ingress_->plane->callers());
  const Time begin = loop_.Now();
  caller.Write(Request("/bookings", kDeadlineMs));
  RunUntil([&] { return caller.closed(); });
  EXPECT_GE(loop_.Now() - begin, milliseconds(kDeadlineMs));
  EXPECT_LT(loop_.Now() - begin, milliseconds(kDeadlineMs + 500));
}

// A response that still comes is delivered, although it is late.
TEST_F(UnansweredRequestTest, AResponseThatMovesOnMayEndAfterTheDeadline) {
  constexpr int kParts = 10;
  Start([this](size_t, const ScriptedTarget::Write& write) {
    write("HTTP/1.1 200 OK\r\nContent-Length: " +
          std::to_string(kParts * kPartBytes) + "\r\n\r\n");
    for (int part = 0; part < kParts; ++part) {
      After(milliseconds(120 * part),
            [write] { write(std::string(kPartBytes, 'x')); });
    }
  });
  RawClient caller(loop_, ingress_->plane->callers());
  caller.Write(Request("/bookings", 600));
  RunUntil([&] {
    return caller.closed() || caller.received().size() > kParts * kPartBytes;
  });
  EXPECT_EQ(Count(caller.received(), "x"), kParts * kPartBytes);
}

// A caller that reads slowly is not taken for a target that stalls.
TEST_F(UnansweredRequestTest, ACallerThatPausesGetsTheRestAfterTheDeadline) {
  constexpr size_t kBodyBytes = 16 << 20;
  Start([](size_t, const ScriptedTarget::Write& write) {
    write(WholeResponse(std::string(kBodyBytes, 'x')));
  });
  RawClient caller(loop_, ingress_->plane->callers());
  caller.Write(Request("/bookings", 600));
  bufferevent_disable(caller.end(), EV_READ);
  RunFor(seconds(2));
  bufferevent_enable(caller.end(), EV_READ);
  RunUntil(
      [&] { return caller.closed() || caller.received().size() > kBodyBytes; });
  EXPECT_EQ(Count(caller.received(), "x"), kBodyBytes);
}

}  // namespace
}  // namespace ibisvalve::dataplane

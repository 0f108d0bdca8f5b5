#include <gmock/gmock.h>

#include <list>

#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"

namespace ibisvalve::dataplane {
namespace {

using testing::HasSubstr;
using testing::StartsWith;

constexpr size_t kBudgetBytes = 1 << 20;
constexpr size_t kBodyBytes = 600 << 10;

// Fixture with one node that may hold kBudgetBytes of bodies.
class UploadMemoryTest : public PlaneTest {
 protected:
  UploadMemoryTest() {
    body_memory_ = kBudgetBytes;
    service_.limits.request_body = 4 << 20;
    gate_ = &AddNode("suva-2", &target_);
    node_ = &AddNode("suva-1", nullptr);
    WaitReady(*gate_);
  }

  RawClient& Connect() {
    return callers_.emplace_back(loop_, node_->plane->callers());
  }

  // Begins an upload of kBodyBytes, and sends all but the last byte.
  RawClient& BeginUpload() {
    RawClient& caller = Connect();
    caller.Write(
        "POST /bookings HTTP/1.1\r\nHost: bookdesk\r\nContent-Length: " +
        std::to_string(kBodyBytes) + "\r\n\r\n" +
        std::string(kBodyBytes - 1, 'x'));
    return caller;
  }

  double Held() const { return Metric(*node_, "ibis_body_memory_bytes"); }

  FakeTarget target_{
      loop_, [](evhttp_request* request) { RespondOk(request, "fine"); }};
  Node* gate_ = nullptr;
  Node* node_ = nullptr;
  std::list<RawClient> callers_;
};

// Guards against a node that runs out of memory by uploads within the limits,
// of which it counted only those that had arrived whole.
TEST_F(UploadMemoryTest, BodiesBeingReceivedCountTowardsTheBudget) {
  RawClient& first = BeginUpload();
  RunUntil([&] { return Held() >= kBodyBytes; });
  RawClient& second = BeginUpload();
  RunUntil([&] { return second.closed() || !second.received().empty(); });
  EXPECT_THAT(second.received(), StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(second.received(), HasSubstr("Ibis-Outcome: not-run"));
  EXPECT_THAT(second.received(), HasSubstr("Ibis-Reason: memory"));
  first.Write("x");
  RunUntil([&] { return first.closed() || !first.received().empty(); });
  EXPECT_THAT(first.received(), StartsWith("HTTP/1.1 200"));
  RunUntil([&] { return Held() == 0; });
  EXPECT_EQ(target_.seen().size(), 1U);
}

TEST_F(UploadMemoryTest, ABodyWithoutALengthCountsAsItArrives) {
  RawClient& caller = Connect();
  caller.Write(
      "POST /bookings HTTP/1.1\r\nHost: bookdesk\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "10000\r\n" + std::string(64 << 10, 'x') + "\r\n";
  for (size_t sent = 0; sent <= kBudgetBytes; sent += 64 << 10) {
    caller.Write(chunk);
  }
  RunUntil([&] { return caller.closed() || !caller.received().empty(); });
  EXPECT_THAT(caller.received(), StartsWith("HTTP/1.1 503"));
  EXPECT_EQ(Held(), 0);
}

// A caller that leaves in the middle of its body gives the memory back.
TEST_F(UploadMemoryTest, AnUploadThatIsAbandonedReleasesItsMemory) {
  RawClient& caller = BeginUpload();
  RunUntil([&] { return Held() >= kBodyBytes; });
  caller.Close();
  RunUntil([&] { return Held() == 0; });
  EXPECT_TRUE(target_.seen().empty());
}

}  // namespace
}  // namespace ibisvalve::dataplane

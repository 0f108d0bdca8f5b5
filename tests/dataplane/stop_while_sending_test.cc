#include "dataplane/gate_reply.h"
#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

// More than the gate may send before the ingress grants credit. The rest is
// less than what the gate buffers, so the target can hand over all of it.
constexpr size_t kResponseBytes =
    kInitialCredit + kMaxBufferedResponseBytes / 2;

// A gate and a mesh link on which the test plays an ingress that grants credit
// late, as for a caller behind a slow link.
class StopWhileSendingTest : public PlaneTest {
 protected:
  void SetUp() override {
    gate_ = &AddNode("suva-2", &target_);
    WaitReady(*gate_);
    link_ = net::FrameLink::Connect(
        loop_, gate_->plane->mesh(),
        {nullptr,
         [this](wire::FrameType type, std::string_view payload) {
           OnFrame(type, payload);
         },
         [](const std::string&) {}, nullptr});
    link_->Send(wire::MeshHello{NodeId("peer"), Incarnation(7), Revision(1)});
    wire::OpenAttempt open;
    open.id = {Incarnation(7), 1};
    open.gate = gate_->member.incarnation;
    open.revision = Revision(1);
    open.service = service_.name;
    open.method = "POST";
    open.uri = "/bookings";
    open.remaining_us = open.objective_us = 5'000'000;
    open.sent_us = BootMicros();
    link_->Send(open);
    // The target has handed over its response and the gate waits for credit.
    RunUntil([this] {
      return received_ == kInitialCredit &&
             Metric(*gate_, "ibis_gate_running") == 0;
    });
  }

  void OnFrame(wire::FrameType type, std::string_view payload) {
    if (type == wire::AnswerHead::kType) {
      received_ += wire::Decode<wire::AnswerHead>(payload).body.size();
    } else if (type == wire::AnswerPart::kType) {
      const auto part = wire::Decode<wire::AnswerPart>(payload);
      received_ += part.bytes.size();
      complete_ = complete_ || part.last;
    } else if (type == wire::AttemptFailed::kType) {
      failed_ = true;
    }
  }

  void ExpectTheRest() {
    link_->Send(wire::Credit{{Incarnation(7), 1}, kInitialCredit});
    RunUntil([this] { return complete_ || failed_; });
    EXPECT_FALSE(failed_);
    EXPECT_EQ(received_, kResponseBytes);
  }

  FakeTarget target_{loop_, [](evhttp_request* request) {
                       RespondOk(request, std::string(kResponseBytes, 'x'));
                     }};
  Node* gate_ = nullptr;
  std::unique_ptr<net::FrameLink> link_;
  size_t received_ = 0;
  bool complete_ = false;
  bool failed_ = false;
};

// Guards against a planned stop that cuts off a response which the target has
// handed over and the gate is still sending.
TEST_F(StopWhileSendingTest, APlannedStopSendsTheRestOfAResponse) {
  bool stopped = false;
  gate_->plane->Stop(std::chrono::seconds(3), [&] { stopped = true; });
  ExpectTheRest();
  RunUntil([&] { return stopped; });
}

// The same when the target announces that it departs.
TEST_F(StopWhileSendingTest, ATargetThatDepartsCutsOffNoResponse) {
  TargetAnnouncement announcement;
  announcement.identity = "i-1";
  announcement.stopping = true;
  gate_->plane->Announce(announcement);
  ExpectTheRest();
}

}  // namespace
}  // namespace ibisvalve::dataplane

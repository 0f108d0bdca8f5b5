#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

constexpr uint64_t kSecondUs = 1'000'000;

// A gate and a mesh link on which the test plays the ingress.
class DelayedAttemptTest : public PlaneTest {
 protected:
  void SetUp() override {
    gate_ = &AddNode("suva-2", &target_);
    WaitReady(*gate_);
    link_ = net::FrameLink::Connect(
        loop_, gate_->plane->mesh(),
        {nullptr,
         [this](wire::FrameType type, std::string_view payload) {
           if (type == wire::AnswerHead::kType) {
             ++answered_;
           } else if (type == wire::AttemptFailed::kType) {
             failures_.push_back(wire::Decode<wire::AttemptFailed>(payload));
           }
         },
         [](const std::string&) {}, nullptr});
    link_->Send(wire::MeshHello{NodeId("peer"), Incarnation(7), Revision(1)});
  }
  // Sends an attempt that was `age_us` on its way when it reaches the gate.
  void Open(uint64_t age_us, uint64_t remaining_us) {
    wire::OpenAttempt open;
    open.id = {Incarnation(7), ++opened_};
    open.gate = gate_->member.incarnation;
    open.revision = Revision(1);
    open.service = service_.name;
    open.method = "GET";
    open.uri = "/rooms";
    open.remaining_us = open.objective_us = remaining_us;
    open.may_repeat = true;
    open.sent_us = BootMicros() - age_us;
    link_->Send(open);
  }

  FakeTarget target_{
      loop_, [](evhttp_request* request) { RespondOk(request, "fine"); }};
  Node* gate_ = nullptr;
  std::unique_ptr<net::FrameLink> link_;
  uint64_t opened_ = 0;
  size_t answered_ = 0;
  std::vector<wire::AttemptFailed> failures_;
};

// Guards against requests that wait on a congested link for longer than their
// callers do, and then reach a target with the time that was left when they
// were sent.
TEST_F(DelayedAttemptTest, AnAttemptWhoseTimeHasPassedOnItsWayIsNotRun) {
  Open(0, kSecondUs);
  RunUntil([this] { return answered_ == 1; });
  Open(2 * kSecondUs, kSecondUs);
  RunUntil([this] { return answered_ + failures_.size() == 2; });
  ASSERT_EQ(failures_.size(), 1U);
  EXPECT_EQ(failures_[0].outcome, world::Outcome::kNotRun);
  EXPECT_EQ(failures_[0].reason, world::Reason::kDeadline);
  EXPECT_EQ(target_.seen().size(), 1U);
}

// Guards against a target that is told more time than its caller has left.
TEST_F(DelayedAttemptTest, TheTimeOnTheWayIsTakenFromTheTimeLeft) {
  Open(0, kSecondUs);
  RunUntil([this] { return answered_ == 1; });
  Open(kSecondUs, 3 * kSecondUs);
  RunUntil([this] { return answered_ == 2; });
  const std::string* left =
      FindHeader(target_.headers(), HeaderNames().deadline);
  ASSERT_NE(left, nullptr);
  EXPECT_LE(std::stoi(*left), 2000);
  EXPECT_GE(std::stoi(*left), 1900);
}

}  // namespace
}  // namespace ibisvalve::dataplane

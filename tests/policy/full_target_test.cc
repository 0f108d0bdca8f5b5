#include <gtest/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWork = milliseconds(160);
constexpr Duration kObjective = milliseconds(500);
constexpr Duration kDeadline = milliseconds(1200);

// Target with two slots and known service times.
class FullTargetTest : public testing::Test {
 protected:
  FullTargetTest() {
    for (int i = 0; i < 10; ++i) {
      const AttemptId id = NextId();
      admission_.Arrive(Terms(id), now_);
      now_ += kWork;
      admission_.Finish(id, kWork, RunResult::kSucceeded, now_);
    }
  }

  static AdmissionSettings Settings() {
    AdmissionSettings settings;
    settings.slots = 2;
    settings.adaptive_limit = false;
    settings.by_objective = true;
    return settings;
  }
  AttemptId NextId() { return {Incarnation(1), ++last_}; }
  AdmissionTerms Terms(const AttemptId& id) const {
    return {id, now_ + kDeadline, now_ + kObjective, kWork};
  }
  // Occupies all slots.
  std::vector<AttemptId> OccupySlots() {
    std::vector<AttemptId> running;
    for (uint32_t i = 0; i < Settings().slots; ++i) {
      running.push_back(NextId());
      EXPECT_EQ(admission_.Arrive(Terms(running.back()), now_).admit,
                Admit::kRun);
    }
    return running;
  }

  Admission admission_{Settings()};
  Time now_ = Time(seconds(100));
  uint64_t last_ = 0;
};

// Guards against long queues at one target while others are idle, which arise
// if many ingresses choose by the same outdated hint.
TEST_F(FullTargetTest, RefusesAtOnceIfAnotherTargetMayHaveRoom) {
  OccupySlots();
  AdmissionTerms terms = Terms(NextId());
  terms.max_queue_wait = milliseconds(10);
  const Admission::Decision decision = admission_.Arrive(terms, now_);
  EXPECT_EQ(decision.admit, Admit::kRefuse);
  EXPECT_EQ(decision.reason, world::Reason::kBusy);
}

TEST_F(FullTargetTest, QueuesWhileTheObjectiveCanBeMet) {
  OccupySlots();
  EXPECT_EQ(admission_.Arrive(Terms(NextId()), now_).admit, Admit::kQueue);
  EXPECT_EQ(admission_.Arrive(Terms(NextId()), now_).admit, Admit::kQueue);
  EXPECT_EQ(admission_.Arrive(Terms(NextId()), now_).admit, Admit::kQueue);
  EXPECT_EQ(admission_.Arrive(Terms(NextId()), now_).admit, Admit::kQueue);
  // Would wait for five runs of 80 ms on average and end after the objective.
  EXPECT_EQ(admission_.Arrive(Terms(NextId()), now_).admit, Admit::kRefuse);
}

// Guards against waiting too long in a queue whose runs turn out slower than
// estimated.
TEST_F(FullTargetTest, RefusesAfterTheMaximumQueueWait) {
  OccupySlots();
  AdmissionTerms terms = Terms(NextId());
  terms.max_queue_wait = milliseconds(100);
  ASSERT_EQ(admission_.Arrive(terms, now_).admit, Admit::kQueue);
  EXPECT_TRUE(admission_.Expire(now_ + milliseconds(90)).empty());
  const auto released = admission_.Expire(now_ + milliseconds(101));
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released.front().decision.admit, Admit::kRefuse);
}

// Guards against starvation of less urgent priorities: a more urgent request
// goes first only if its objective is not much later.
TEST_F(FullTargetTest, UrgentPriorityGoesFirstWithoutStarvation) {
  const std::vector<AttemptId> running = OccupySlots();
  AdmissionTerms low = Terms(NextId());
  low.priority = 1;
  AdmissionTerms high = Terms(NextId());
  high.objective += milliseconds(100);
  AdmissionTerms later = Terms(NextId());
  later.objective += milliseconds(200);
  ASSERT_EQ(admission_.Arrive(low, now_).admit, Admit::kQueue);
  ASSERT_EQ(admission_.Arrive(high, now_).admit, Admit::kQueue);
  ASSERT_EQ(admission_.Arrive(later, now_).admit, Admit::kQueue);
  std::vector<AttemptId> order;
  for (const AttemptId& id : running) {
    now_ += milliseconds(10);
    for (const auto& release :
         admission_.Finish(id, kWork, RunResult::kSucceeded, now_)) {
      order.push_back(release.id);
    }
  }
  EXPECT_EQ(order, (std::vector<AttemptId>{high.id, low.id}));
}

}  // namespace
}  // namespace ibisvalve::policy

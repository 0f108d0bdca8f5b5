#include "claims/attempt_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ibisvalve::claims {
namespace {

using world::Outcome;
using world::Reason;

AttemptId Id(uint64_t ingress, uint64_t counter) {
  return {Incarnation(ingress), counter};
}

FinishedAttempt Answered(const std::string& body) {
  return {Outcome::kAnswered, Reason::kNone, 200,
          std::make_shared<StoredResponse>(StoredResponse{200, {}, body})};
}

TEST(AttemptTableTest, RunsAnAttemptOnceAndStoresItsResponse) {
  AttemptTable table({});
  EXPECT_EQ(table.Open(Id(1, 1)), AttemptPhase::kUnseen);
  EXPECT_EQ(table.Open(Id(1, 1)), AttemptPhase::kRunning);
  EXPECT_EQ(table.Query(Id(1, 1)), AttemptPhase::kRunning);
  table.Finish(Id(1, 1), Answered("a"), false);
  EXPECT_EQ(table.Query(Id(1, 1)), AttemptPhase::kFinished);
  EXPECT_EQ(table.Find(Id(1, 1))->response->body, "a");
}

TEST(AttemptTableTest, AQueryFencesAnAttemptThatWasNeverReceived) {
  AttemptTable table({});
  EXPECT_EQ(table.Query(Id(1, 1)), AttemptPhase::kFenced);
  EXPECT_EQ(table.Open(Id(1, 1)), AttemptPhase::kFenced);
  EXPECT_EQ(table.Find(Id(1, 1))->outcome, Outcome::kNotRun);
}

TEST(AttemptTableTest, AnEvictedAttemptIsNeverReportedAsUnseen) {
  AttemptTable table({.entries = 2, .ingresses = 4});
  for (uint64_t counter = 1; counter <= 4; ++counter) {
    table.Open(Id(1, counter));
    table.Finish(Id(1, counter), Answered("a"), false);
  }
  EXPECT_EQ(table.entries(), 2U);
  EXPECT_EQ(table.Open(Id(1, 1)), AttemptPhase::kForgotten);
  EXPECT_EQ(table.Query(Id(1, 2)), AttemptPhase::kForgotten);
  EXPECT_EQ(table.Query(Id(1, 3)), AttemptPhase::kFinished);
  EXPECT_EQ(table.Open(Id(2, 1)), AttemptPhase::kUnseen);
}

TEST(AttemptTableTest, StoredResponsesStayWithinTheirByteLimit) {
  AttemptTable table({.response_bytes = 3000});
  for (uint64_t counter = 1; counter <= 10; ++counter) {
    table.Open(Id(1, counter));
    table.Finish(Id(1, counter), Answered(std::string(1000, 'x')), false);
    EXPECT_LE(table.response_bytes(), 3000U);
  }
  EXPECT_EQ(table.Find(Id(1, 1))->response, nullptr);
  EXPECT_EQ(table.Find(Id(1, 1))->outcome, Outcome::kAnswered);
  EXPECT_NE(table.Find(Id(1, 10))->response, nullptr);
}

TEST(AttemptTableTest, ResponsesToKeyedAttemptsAreNotEvictedByOthers) {
  AttemptTable table({.entries = 2});
  table.Open(Id(1, 1));
  table.Finish(Id(1, 1), Answered("booked"), true);
  for (uint64_t counter = 2; counter <= 50; ++counter) {
    table.Open(Id(1, counter));
    table.Finish(Id(1, counter), Answered("looked up"), false);
  }
  EXPECT_EQ(table.Find(Id(1, 1))->response->body, "booked");
}

// Model of one gate and three ingresses on a network that loses, duplicates,
// reorders and delays messages. A restart of the gate ends all links to it.
class GateModel {
 public:
  void Step(uint8_t action, uint8_t selector) {
    switch (action % 8) {
      case 0:
      case 1:
        return SendNew(selector);
      case 2:
        return Deliver(selector, true);
      case 3:
        return Deliver(selector, false);
      case 4:
        return DropOne(selector);
      case 5:
        return FinishOne(selector);
      case 6:
        return QueryOne(selector);
      default:
        if (selector % 16 == 0) {
          Restart();
        }
    }
  }

  void DeliverAll() {
    while (!network_.empty()) {
      Deliver(0, false);
    }
  }

 private:
  struct Message {
    AttemptId id;
    Incarnation gate;  // of the gate when the attempt was sent
    Incarnation link;  // of the gate when the link was opened
    bool query = false;
  };

  void SendNew(uint8_t selector) {
    const uint64_t ingress = 1 + selector % 3;
    const AttemptId id = Id(ingress, ++counters_[ingress]);
    sent_.push_back({id, gate_, gate_, false});
    network_.push_back(sent_.back());
  }

  void QueryOne(uint8_t selector) {
    if (sent_.empty()) {
      return;
    }
    Message query = sent_[selector % sent_.size()];
    query.query = true;
    query.link = gate_;
    network_.push_back(query);
  }

  void DropOne(uint8_t selector) {
    if (!network_.empty()) {
      network_.erase(network_.begin() +
                     static_cast<std::ptrdiff_t>(selector % network_.size()));
    }
  }

  void Deliver(uint8_t selector, bool twice) {
    if (network_.empty()) {
      return;
    }
    const size_t index = selector % network_.size();
    const Message message = network_[index];
    if (!twice) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (message.link == gate_) {
      message.query ? OnQuery(message) : OnOpen(message);
    }
  }

  void OnOpen(const Message& message) {
    const AttemptPhase phase = table_->Open(message.id);
    if (phase == AttemptPhase::kUnseen) {
      RC_ASSERT(dispatched_.insert(message.id).second);
      running_.push_back(message.id);
      return;
    }
    Reply(message.id, phase);
  }

  void OnQuery(const Message& message) {
    if (message.gate == gate_) {
      Reply(message.id, table_->Query(message.id));
    }
  }

  void Reply(const AttemptId& id, AttemptPhase phase) {
    const FinishedAttempt* finished = table_->Find(id);
    if (phase == AttemptPhase::kFenced) {
      RC_ASSERT(finished->outcome == Outcome::kNotRun);
    }
    if (finished != nullptr && finished->outcome == Outcome::kNotRun) {
      RC_ASSERT(!dispatched_.contains(id));
      reported_not_run_.insert(id);
    }
    if (finished != nullptr && finished->response != nullptr) {
      RC_ASSERT(finished->response->body == ToString(id));
    }
  }

  void FinishOne(uint8_t selector) {
    if (running_.empty()) {
      return;
    }
    const size_t index = selector % running_.size();
    const AttemptId id = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    RC_ASSERT(!reported_not_run_.contains(id));
    table_->Finish(id, Answered(ToString(id)), selector % 2 == 0);
  }

  void Restart() {
    gate_ = Incarnation(gate_.value + 1);
    table_.emplace(kLimits);
    running_.clear();
  }

  static constexpr AttemptTableLimits kLimits{4, 200, 2, 200, 2};

  Incarnation gate_{1};
  std::optional<AttemptTable> table_{kLimits};
  std::map<uint64_t, uint64_t> counters_;
  std::vector<Message> network_;
  std::vector<Message> sent_;
  std::vector<AttemptId> running_;
  std::set<AttemptId> dispatched_;
  std::set<AttemptId> reported_not_run_;
};

RC_GTEST_PROP(AttemptTableTest,
              NoAttemptRunsTwiceAndNoneThatRanIsReportedAsNotRun,
              ()) {
  constexpr size_t kSteps = 300;
  const auto steps =
      *rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(
          kSteps, rc::gen::pair(rc::gen::inRange<uint8_t>(0, 255),
                                rc::gen::inRange<uint8_t>(0, 255)));
  GateModel model;
  for (const auto& [action, selector] : steps) {
    model.Step(action, selector);
  }
  model.DeliverAll();
}

}  // namespace
}  // namespace ibisvalve::claims

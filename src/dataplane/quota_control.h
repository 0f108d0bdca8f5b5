#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Asks the keepers for tokens. `done` is called at most once, with the answer
/// of a leader; not at all if the question or the answer is lost.
using AskQuota = std::function<void(
    const std::vector<wire::QuotaDemand>& demands,
    std::function<void(const std::vector<wire::QuotaTokens>&)> done)>;

/// Decision on a request of a workspace with a quota.
struct QuotaDecision {
  enum class Verdict : uint8_t {
    kGranted,  // it has taken a token
    kOver,     // the workspace has used up its quota
    kUnknown,  // no leader of the keepers has answered in time
  };
  Verdict verdict = Verdict::kUnknown;
  Time expires{};     // of the token, for Refund
  Duration retry{0};  // with kOver: until there may be a token

  auto operator<=>(const QuotaDecision&) const = default;
};

/// Counters for metrics.
struct QuotaCounts {
  uint64_t asked = 0;  // questions sent to the keepers
  uint64_t granted = 0;
  uint64_t over = 0;
  uint64_t unknown = 0;

  auto operator<=>(const QuotaCounts&) const = default;
};

/// Holds this node's tokens of the workspaces' quotas and the requests that
/// wait for one. Runs on the event loop.
class QuotaControl {
 public:
  /// Receives the decision. Returns whether the request still exists; a token
  /// is put back otherwise.
  using Done = std::function<bool(const QuotaDecision&)>;

  /// `ask` may be null, and then no request of a workspace with a quota is
  /// served.
  QuotaControl(net::EventLoop& loop, AskQuota ask);

  /// Decides on a request of `workspace` that may wait for `patience`. `done`
  /// may be called within this call.
  void Admit(const std::string& workspace, Duration patience, Done done);
  /// Puts back the token of a request that did not run.
  void Refund(const std::string& workspace, Time expires);
  const QuotaCounts& counts() const { return counts_; }

 private:
  struct Waiter {
    Time until{};
    Done done;
  };
  struct Entry {
    policy::QuotaBalance balance;
    std::deque<Waiter> waiters;
    uint32_t asked = 0;  // tokens in questions that are not answered yet
    Time asked_at{};     // of the latest question
  };

  // A question to the keepers, and how many requests wait for its answer.
  struct Question {
    Time sent{};
    std::map<std::string, size_t> waiting;  // by workspace
  };
  // Tokens that may be spent later.
  struct Delayed {
    std::string workspace;
    uint32_t tokens = 0;
    Time expires{};
  };

  static Time Now();
  void ScheduleAsk();
  void Ask();
  void OnAnswer(const Question& question,
                const std::vector<wire::QuotaTokens>& answer);
  void RefuseWaiters(Entry& entry, size_t first, size_t count, Duration retry);
  void AddDelayed();
  void AddTokens(const std::string& workspace, uint32_t tokens, Time expires);
  void Serve(Entry& entry);
  void Tick();

  net::EventLoop& loop_;
  AskQuota ask_;
  std::map<std::string, Entry> entries_;
  QuotaCounts counts_;
  std::multimap<Time, Delayed> delayed_;  // by when they may be spent
  net::Timer ask_timer_;
  net::Timer delayed_timer_;
  net::Timer tick_timer_;
  std::shared_ptr<bool> alive_;
};

}  // namespace ibisvalve::dataplane

#include "dataplane/quota_control.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

// A grant may be spent for this time after its question was sent. The bound on
// a workspace's requests in 5 s has a tenth to spare, which is what this adds.
constexpr Duration kValidity = std::chrono::milliseconds(500);
// Requests that arrive together share a question.
constexpr Duration kAskDelay = std::chrono::milliseconds(1);
// A question that is not answered is asked again. Elections take longer, but
// another keeper may answer.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
constexpr Duration kTickInterval = std::chrono::milliseconds(20);

}  // namespace

QuotaControl::QuotaControl(net::EventLoop& loop, AskQuota ask)
    : loop_(loop),
      ask_(std::move(ask)),
      ask_timer_(loop, [this] { Ask(); }),
      delayed_timer_(loop, [this] { AddDelayed(); }),
      tick_timer_(loop, [this] { Tick(); }),
      alive_(std::make_shared<bool>(true)) {}

Time QuotaControl::Now() {
  return Time(Duration(static_cast<Duration::rep>(BootMicros())));
}

void QuotaControl::Admit(const std::string& workspace,
                         Duration patience,
                         Done done) {
  const Time now = Now();
  Entry& entry = entries_[workspace];
  entry.balance.OnRequest(now);
  if (!tick_timer_.running()) {
    tick_timer_.StartPeriodic(kTickInterval);
  }
  const Duration denied = entry.balance.DeniedFor(now);
  const std::optional<Time> token =
      entry.waiters.empty() ? entry.balance.TryTake(now) : std::nullopt;
  if (token) {
    ++counts_.granted;
    done({QuotaDecision::Verdict::kGranted, *token, Duration(0)});
  } else if (denied > Duration(0)) {
    ++counts_.over;
    done({QuotaDecision::Verdict::kOver, Time(), denied});
    return;
  } else {
    entry.waiters.push_back({now + patience, std::move(done)});
  }
  ScheduleAsk();
}

void QuotaControl::Refund(const std::string& workspace, Time expires) {
  AddTokens(workspace, 1, expires);
}

void QuotaControl::ScheduleAsk() {
  if (!ask_timer_.running()) {
    ask_timer_.StartOnce(kAskDelay);
  }
}

void QuotaControl::Ask() {
  const Time now = Now();
  Question question{now, {}};
  std::vector<wire::QuotaDemand> demands;
  for (auto& [workspace, entry] : entries_) {
    const bool overdue = now - entry.asked_at >= kAnswerTimeout;
    const uint32_t in_flight = overdue ? 0 : entry.asked;
    const auto needed =
        static_cast<uint32_t>(entry.waiters.size()) + entry.balance.Wanted(now);
    if (needed <= in_flight || entry.balance.DeniedFor(now) > Duration(0)) {
      continue;
    }
    const Duration patience =
        entry.waiters.empty() ? Duration(0) : entry.waiters.front().until - now;
    demands.push_back(
        {workspace, needed - in_flight,
         static_cast<uint64_t>(std::max(patience, Duration(0)).count())});
    // The other requests that wait are those of questions on their way.
    question.waiting[workspace] =
        std::min<size_t>(entry.waiters.size(), needed - in_flight);
    entry.asked = needed;
    entry.asked_at = now;
  }
  if (demands.empty() || !ask_) {
    return;
  }
  ++counts_.asked;
  ask_(demands, [this, alive = std::weak_ptr<bool>(alive_),
                 question](const std::vector<wire::QuotaTokens>& answer) {
    if (!alive.expired()) {
      OnAnswer(question, answer);
    }
  });
}

void QuotaControl::OnAnswer(const Question& question,
                            const std::vector<wire::QuotaTokens>& answer) {
  for (const wire::QuotaTokens& tokens : answer) {
    Entry& entry = entries_[tokens.workspace];
    entry.asked -= std::min(entry.asked, tokens.wanted);
    const Duration delay(static_cast<Duration::rep>(tokens.delay_us));
    const Time expires = question.sent + delay + kValidity;
    const auto waiting = question.waiting.find(tokens.workspace);
    const size_t asked_for =
        waiting == question.waiting.end() ? 0 : waiting->second;
    if (asked_for > tokens.granted) {
      RefuseWaiters(entry, tokens.granted, asked_for - tokens.granted,
                    Duration(static_cast<Duration::rep>(tokens.retry_us)));
    }
    if (delay == Duration(0)) {
      AddTokens(tokens.workspace, tokens.granted, expires);
    } else {
      delayed_.emplace(Now() + delay,
                       Delayed{tokens.workspace, tokens.granted, expires});
      delayed_timer_.StartOnce(
          std::max(delayed_.begin()->first - Now(), Duration(0)));
    }
  }
}

// Refuses `count` requests that wait, after the first `first` of them.
void QuotaControl::RefuseWaiters(Entry& entry,
                                 size_t first,
                                 size_t count,
                                 Duration retry) {
  entry.balance.Deny(Now());
  const auto begin =
      entry.waiters.begin() +
      static_cast<std::ptrdiff_t>(std::min(first, entry.waiters.size()));
  const auto end = begin + std::min(static_cast<std::ptrdiff_t>(count),
                                    std::distance(begin, entry.waiters.end()));
  const std::vector<Waiter> refused(std::make_move_iterator(begin),
                                    std::make_move_iterator(end));
  entry.waiters.erase(begin, end);
  for (const Waiter& waiter : refused) {
    ++counts_.over;
    waiter.done({QuotaDecision::Verdict::kOver, Time(), retry});
  }
}

void QuotaControl::AddDelayed() {
  const Time now = Now();
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    const Delayed due = delayed_.begin()->second;
    delayed_.erase(delayed_.begin());
    AddTokens(due.workspace, due.tokens, due.expires);
  }
  if (!delayed_.empty()) {
    delayed_timer_.StartOnce(delayed_.begin()->first - now);
  }
}

void QuotaControl::AddTokens(const std::string& workspace,
                             uint32_t tokens,
                             Time expires) {
  Entry& entry = entries_[workspace];
  entry.balance.Add(tokens, expires);
  Serve(entry);
}

// Gives tokens to the requests that wait, in their order.
void QuotaControl::Serve(Entry& entry) {
  const Time now = Now();
  while (!entry.waiters.empty()) {
    const std::optional<Time> token = entry.balance.TryTake(now);
    if (!token) {
      return;
    }
    const Waiter waiter = std::move(entry.waiters.front());
    entry.waiters.pop_front();
    if (waiter.done({QuotaDecision::Verdict::kGranted, *token, Duration(0)})) {
      ++counts_.granted;
    } else {
      entry.balance.Add(1, *token);
    }
  }
}

// Ends the wait of requests that have waited too long, asks again where an
// answer is overdue, and forgets idle workspaces.
void QuotaControl::Tick() {
  const Time now = Now();
  std::vector<Waiter> expired;
  bool waiting = false;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    auto& waiters = entry->second.waiters;
    while (!waiters.empty() && waiters.front().until <= now) {
      expired.push_back(std::move(waiters.front()));
      waiters.pop_front();
    }
    waiting |= !waiters.empty();
    entry = waiters.empty() && entry->second.balance.IsIdle(now)
                ? entries_.erase(entry)
                : std::next(entry);
  }
  if (entries_.empty()) {
    tick_timer_.Stop();
  }
  if (waiting) {
    ScheduleAsk();
  }
  for (const Waiter& waiter : expired) {
    ++counts_.unknown;
    waiter.done({QuotaDecision::Verdict::kUnknown, Time(), Duration(0)});
  }
}

}  // namespace ibisvalve::dataplane

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(5);
constexpr Duration kValidity = milliseconds(500);
constexpr char kName[] = "w";

// Leaders and nodes that share one workspace. Nodes ask, their questions and
// the answers take some time or get lost, and leaders change.
class Model {
 public:
  explicit Model(const world::Quota& quota) : quota_(quota) {
    buckets_.Configure({{kName, quota}}, now_);
  }

  void Pass(Duration time) {
    now_ += time;
    Deliver();
  }
  void ChangeLeader() { buckets_.Reset(now_); }
  void Restart(size_t node) { nodes_[node % kNodes] = QuotaBalance(); }
  void Ask(size_t node, uint32_t tokens, Duration way, bool lost) {
    const TokenBuckets::Grant grant =
        buckets_.Take(kName, tokens, milliseconds(200), now_ + way);
    if (!lost) {
      answers_.push_back({node % kNodes, grant.tokens,
                          now_ + 2 * way + grant.delay,
                          now_ + grant.delay + kValidity});
    }
  }
  // A node spends all that it has: nothing else limits the workspace.
  void SpendAll(size_t node) {
    while (nodes_[node % kNodes].TryTake(now_)) {
      spent_.push_back(now_);
    }
  }

  double MostInWindow() const {
    size_t most = 0;
    for (size_t first = 0, last = 0; last < spent_.size(); ++last) {
      while (spent_[last] - spent_[first] > kWindow) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most);
  }
  double Bound() const {
    return (quota_.per_second * duration<double>(kWindow).count() +
            quota_.burst) *
               1.1 +
           20;
  }

 private:
  static constexpr size_t kNodes = 4;
  struct Answer {
    size_t node;
    uint32_t tokens;
    Time arrives;
    Time expires;
  };

  void Deliver() {
    for (const Answer& answer : answers_) {
      if (answer.arrives <= now_) {
        nodes_[answer.node].Add(answer.tokens, answer.expires);
      }
    }
    std::erase_if(answers_, [this](const Answer& answer) {
      return answer.arrives <= now_;
    });
  }

  world::Quota quota_;
  Time now_{seconds(100)};
  TokenBuckets buckets_;
  std::vector<QuotaBalance> nodes_{kNodes};
  std::vector<Answer> answers_;
  std::vector<Time> spent_;
};

// Guards against a workspace that gets more than its quota while leaders
// change, nodes restart or are cut off, and answers are late or lost.
RC_GTEST_PROP(QuotaModelTest, NoInterleavingExceedsTheBound, ()) {
  const world::Quota quota{*rc::gen::inRange(1, 400) / 4.0,
                           *rc::gen::inRange(0, 100) / 1.0};
  Model model(quota);
  const auto steps = *rc::gen::inRange(0, 400);
  for (int step = 0; step < steps; ++step) {
    const auto node = *rc::gen::inRange<size_t>(0, 4);
    switch (*rc::gen::weightedElement<int>(
        {{8, 0}, {10, 1}, {6, 2}, {1, 3}, {1, 4}})) {
      case 0:
        model.Pass(microseconds(*rc::gen::inRange(0, 400'000)));
        break;
      case 1:
        model.Ask(node, *rc::gen::inRange<uint32_t>(1, 200),
                  microseconds(*rc::gen::inRange(0, 300'000)),
                  *rc::gen::inRange(0, 10) == 0);
        break;
      case 2:
        model.SpendAll(node);
        break;
      case 3:
        model.ChangeLeader();
        break;
      default:
        model.Restart(node);
    }
  }
  RC_ASSERT(model.MostInWindow() <= model.Bound());
}

// Returns the share of requests that a workspace with `usual` requests a second
// is refused, if its quota is 1.6 times that and each request asks by itself.
double RefusedShare(double usual, uint32_t seed) {
  const world::Quota quota{1.6 * usual, 1.6 * usual};
  TokenBuckets buckets;
  Time now{seconds(1)};
  buckets.Configure({{kName, quota}}, now);
  now += seconds(10);
  std::mt19937 random(seed);
  std::exponential_distribution<double> gap(usual);
  int refused = 0;
  constexpr int kRequests = 20'000;
  for (int i = 0; i < kRequests; ++i) {
    now += std::chrono::duration_cast<Duration>(duration<double>(gap(random)));
    refused +=
        buckets.Take(kName, 1, milliseconds(300), now).tokens == 0 ? 1 : 0;
  }
  return static_cast<double>(refused) / kRequests;
}

// Load: many small workspaces and a few large ones, all at their usual load.
// Guards against requests that are refused although their workspace is below
// its quota.
TEST(QuotaTest, UsualLoadIsHardlyEverRefused) {
  for (const double usual : {0.5, 1.0, 4.0, 30.0, 200.0}) {
    EXPECT_LT(RefusedShare(usual, 7), 0.01) << usual;
  }
}

// Load: one workspace at six times its usual load. Guards against a quota that
// does not limit, and against one that gives less than it promises.
TEST(QuotaTest, AWorkspaceAboveItsQuotaGetsItsQuota) {
  const world::Quota quota{16, 16};
  TokenBuckets buckets;
  Time now{seconds(1)};
  buckets.Configure({{kName, quota}}, now);
  uint32_t granted = 0;
  for (int i = 0; i < 6000; ++i) {
    now += microseconds(16'667);  // 60 a second
    granted += buckets.Take(kName, 1, milliseconds(0), now).tokens;
  }
  EXPECT_NEAR(granted, 1600, 30);
}

// A lowered quota binds at once: what the bucket held under the former one is
// not granted any more.
TEST(QuotaTest, ALoweredQuotaTakesItsTokens) {
  TokenBuckets buckets;
  Time now{seconds(1)};
  buckets.Configure({{kName, {100, 100}}}, now);
  now += seconds(10);
  buckets.Configure({{kName, {2, 2}}}, now);
  EXPECT_LE(buckets.Take(kName, 100, milliseconds(0), now).tokens, 15U);
}

// Guards against a token that is spent after its host has been suspended.
TEST(QuotaTest, TokensExpire) {
  QuotaBalance balance;
  const Time now{seconds(1)};
  balance.Add(2, now + kValidity);
  EXPECT_TRUE(balance.TryTake(now + kValidity - microseconds(1)));
  EXPECT_FALSE(balance.TryTake(now + kValidity));
}

// Odd quotas come from operators' mistakes and must not end a keeper.
TEST(QuotaTest, ExtremeQuotasAreHarmless) {
  for (const world::Quota& quota :
       {world::Quota{1e-6, 0}, world::Quota{1e308, 1e308},
        world::Quota{1, 1e308}, world::Quota{1e308, 0}}) {
    TokenBuckets buckets;
    Time now{seconds(1)};
    buckets.Configure({{kName, quota}}, now);
    now += seconds(100);
    const auto grant = buckets.Take(kName, 10, seconds(1), now);
    EXPECT_LE(grant.tokens, 10U);
    EXPECT_LE(grant.retry, std::chrono::hours(1));
  }
}

}  // namespace
}  // namespace ibisvalve::policy

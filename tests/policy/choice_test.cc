#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow{seconds(100)};
constexpr int kDraws = 10'000;

std::vector<Candidate> MakeCandidates(size_t count, uint32_t slots = 20) {
  std::vector<Candidate> candidates(count);
  for (size_t i = 0; i < count; ++i) {
    candidates[i].id = NodeId("n" + std::to_string(i));
    candidates[i].zone = ZoneName("suva");
    candidates[i].same_zone = true;
    candidates[i].slots = slots;
    candidates[i].hint_limit = slots;
    candidates[i].hint_service_time = milliseconds(5);
    candidates[i].hint_time = kNow;
  }
  return candidates;
}

// Returns the share of choices of each candidate.
template <Chooser T>
std::vector<double> ShareOfChoices(T& chooser,
                                   const std::vector<Candidate>& candidates,
                                   Time now = kNow) {
  Random random(1);
  std::vector<double> shares(candidates.size());
  for (int i = 0; i < kDraws; ++i) {
    shares[chooser.Choose(candidates, now, random)] += 1.0 / kDraws;
  }
  return shares;
}

TEST(WeighedChooserTest, SpreadsEvenlyOverEqualTargets) {
  WeighedChooser chooser;
  for (const double share : ShareOfChoices(chooser, MakeCandidates(5))) {
    EXPECT_NEAR(share, 0.2, 0.05);
  }
}

TEST(WeighedChooserTest, AvoidsBusyAndSlowTargets) {
  WeighedChooser chooser;
  auto candidates = MakeCandidates(5);
  candidates[0].hint_in_flight = 20;
  candidates[0].hint_queued = 10;
  candidates[1].hint_service_time = milliseconds(50);
  const auto shares = ShareOfChoices(chooser, candidates);
  EXPECT_LT(shares[0], 0.02);
  EXPECT_LT(shares[1], 0.02);
}

TEST(WeighedChooserTest, AvoidsTargetsThatFailFast) {
  WeighedChooser chooser;
  auto candidates = MakeCandidates(5);
  for (auto& candidate : candidates) {
    candidate.hint_in_flight = 16;
  }
  candidates[0].hint_in_flight = 0;
  candidates[0].hint_failure_share = 1;
  candidates[0].hint_service_time = milliseconds(0);
  EXPECT_LT(ShareOfChoices(chooser, candidates)[0], 0.02);
}

TEST(WeighedChooserTest, PrefersLocalLoadOverOldHints) {
  WeighedChooser chooser;
  auto candidates = MakeCandidates(2);
  candidates[0].hint_in_flight = 18;
  candidates[0].hint_time = kNow - seconds(10);
  candidates[1].local_in_flight = 10;
  EXPECT_GT(ShareOfChoices(chooser, candidates)[0], 0.7);
  candidates[0].hint_time = kNow;
  EXPECT_LT(ShareOfChoices(chooser, candidates)[0], 0.3);
}

TEST(WeighedChooserTest, SpillsToOtherZonesAsItsOwnFillsUp) {
  WeighedChooser chooser;
  auto candidates = MakeCandidates(4);
  candidates[2].same_zone = candidates[3].same_zone = false;
  const auto away = [&](uint32_t in_flight) {
    candidates[0].hint_in_flight = candidates[1].hint_in_flight = in_flight;
    const auto shares = ShareOfChoices(chooser, candidates);
    return shares[2] + shares[3];
  };
  EXPECT_EQ(away(0), 0);
  EXPECT_EQ(away(16), 0);
  const double some = away(18);
  EXPECT_GT(some, 0.2);
  EXPECT_LT(some, 0.6);
  EXPECT_GT(away(20), 0.8);
}

TEST(WeighedChooserTest, DrawsZonesByDeclaredShares) {
  WeighedChooserSettings settings;
  settings.declared_shares = true;
  WeighedChooser chooser(settings);
  auto candidates = MakeCandidates(4);
  candidates[0].zone = ZoneName("nadi");
  candidates[0].share = 3;
  const auto shares = ShareOfChoices(chooser, candidates);
  EXPECT_NEAR(shares[0], 0.75, 0.02);
}

TEST(WeighedChooserTest, RampsUpColdTargets) {
  WeighedChooser chooser;
  auto candidates = MakeCandidates(4);
  candidates[0].ready_since = kNow;
  const double cold = ShareOfChoices(chooser, candidates)[0];
  EXPECT_GT(cold, 0);
  EXPECT_LT(cold, 0.1);
  EXPECT_NEAR(ShareOfChoices(chooser, candidates, kNow + seconds(5))[0], 0.25,
              0.05);
}

TEST(WeighedChooserTest, ExcludesEjectedTargetsUnlessAllAreEjected) {
  WeighedChooser chooser;
  auto candidates = MakeCandidates(3);
  candidates[0].ejected = 1;
  EXPECT_EQ(ShareOfChoices(chooser, candidates)[0], 0);
  candidates[1].ejected = candidates[2].ejected = 1;
  EXPECT_GT(ShareOfChoices(chooser, candidates)[0], 0.1);
}

TEST(BaselineChooserTest, ChoosersFollowTheirAlgorithms) {
  auto candidates = MakeCandidates(3);
  candidates[0].local_in_flight = 2;
  candidates[1].local_in_flight = 1;
  candidates[2].local_in_flight = 1;
  candidates[1].hint_in_flight = 5;
  LeastLocalChooser least;
  const auto by_least = ShareOfChoices(least, candidates);
  EXPECT_EQ(by_least[0], 0);
  EXPECT_NEAR(by_least[1], 0.5, 0.05);
  TwoStaleChooser stale;
  EXPECT_NEAR(ShareOfChoices(stale, candidates)[1], 1.0 / 9, 0.02);
  RoundRobinChooser robin;
  RandomChooser any;
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_NEAR(ShareOfChoices(robin, candidates)[i], 1.0 / 3, 0.001);
    EXPECT_NEAR(ShareOfChoices(any, candidates)[i], 1.0 / 3, 0.05);
  }
}

rc::Gen<Candidate> AnyCandidate() {
  return rc::gen::build<Candidate>(
      rc::gen::set(&Candidate::same_zone),
      rc::gen::set(&Candidate::same_region),
      rc::gen::set(&Candidate::share, rc::gen::element(0.0, 0.5, 1.0, 3.0)),
      rc::gen::set(&Candidate::local_in_flight, rc::gen::inRange(0, 99)),
      rc::gen::set(&Candidate::slots, rc::gen::inRange(0, 99)),
      rc::gen::set(&Candidate::hint_in_flight, rc::gen::inRange(0, 99)),
      rc::gen::set(&Candidate::hint_queued, rc::gen::inRange(0, 99)),
      rc::gen::set(&Candidate::hint_limit, rc::gen::inRange(0, 99)),
      rc::gen::set(&Candidate::hint_failure_share,
                   rc::gen::element(0.0, 0.3, 1.0)),
      rc::gen::set(&Candidate::ejected, rc::gen::element(0.0, 0.5, 1.0)));
}

// Each chooser returns a valid index for any hints.
RC_GTEST_PROP(ChooserProperty, ReturnsAValidIndex, (uint64_t seed)) {
  const auto candidates = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<Candidate>>(AnyCandidate()));
  world::Routing routing;
  routing.spill_at = *rc::gen::element(0.0, 0.8, 1.0);
  if (*rc::gen::arbitrary<bool>()) {
    routing.shares.push_back({ZoneName("suva"), 1.0});
  }
  Random random(seed);
  for (const auto kind :
       {ChoiceKind::kWeighed, ChoiceKind::kRandom, ChoiceKind::kRoundRobin,
        ChoiceKind::kLeastLocal, ChoiceKind::kTwoStale}) {
    AnyChooser chooser(kind, routing);
    RC_ASSERT(chooser.Choose(candidates, kNow, random) < candidates.size());
  }
}

}  // namespace
}  // namespace ibisvalve::policy

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

world::Route MakeRoute(const std::vector<double>& weights) {
  world::Route route;
  route.name = "split";
  for (size_t i = 0; i < weights.size(); ++i) {
    route.targets.push_back({ServiceName("s" + std::to_string(i)), weights[i]});
  }
  return route;
}

RC_GTEST_PROP(WeightedRoundRobinTest, StaysCloseToTheDeclaredShares, ()) {
  const auto weights = *rc::gen::container<std::vector<double>>(
      3, rc::gen::map(rc::gen::inRange(0, 100),
                      [](int weight) { return weight + 0.5; }));
  const world::Route route = MakeRoute(weights);
  Random random(*rc::gen::arbitrary<uint64_t>());
  WeightedRoundRobin shares(random);
  std::map<ServiceName, double> counts;
  const double total = weights[0] + weights[1] + weights[2];
  for (int n = 1; n <= 300; ++n) {
    counts[shares.Next(route)] += 1;
    for (size_t i = 0; i < weights.size(); ++i) {
      const double expected = n * weights[i] / total;
      RC_ASSERT(std::abs(counts[route.targets[i].service] - expected) <= 3.0);
    }
  }
}

TEST(WeightedRoundRobinTest, AWeightOfZeroGetsNoRequests) {
  Random random(7);
  WeightedRoundRobin shares(random);
  const world::Route route = MakeRoute({0, 5});
  for (int n = 0; n < 50; ++n) {
    EXPECT_EQ(shares.Next(route), ServiceName("s1"));
  }
}

}  // namespace
}  // namespace ibisvalve::policy

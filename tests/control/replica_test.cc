#include "control/replica.h"

#include "control/replica_cluster.h"

namespace ibisvalve::control {
namespace {

constexpr int kFaultSteps = 1500;
constexpr int kConvergenceSteps = 1500;

// Returns whether the cluster converged after fault injection ended.
bool RunSeed(uint64_t seed, size_t size, ReplicaCluster& cluster) {
  for (int step = 0; step < kFaultSteps && !testing::Test::HasFailure();
       ++step) {
    cluster.Step();
  }
  cluster.EndFaults();
  for (int step = 0; step < kConvergenceSteps; ++step) {
    cluster.Step();
    if (cluster.Converged()) {
      return true;
    }
  }
  ADD_FAILURE() << "seed " << seed << ", size " << size << ": did not converge"
                << cluster.Describe();
  return false;
}

class ReplicaPropertyTest : public testing::TestWithParam<size_t> {};

// ReplicaCluster checks that a term has at most one leader, that no committed
// entry is lost, that reads never return an older revision, and that a change
// has one answer and a key one holder.
TEST_P(ReplicaPropertyTest, PreservesSafetyPropertiesUnderFaults) {
  size_t granted = 0, leaders = 0, lost_disks = 0;
  uint64_t revisions = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ReplicaCluster cluster(seed, GetParam());
    if (!RunSeed(seed, GetParam(), cluster) || HasFailure()) {
      return;
    }
    granted += cluster.granted();
    leaders += cluster.leaders();
    lost_disks += cluster.lost_disks();
    revisions += cluster.highest_read().value;
  }
  // Faults were injected, and the clusters made progress despite them.
  EXPECT_GT(granted, 100U);
  EXPECT_GT(revisions, 100U);
  EXPECT_GT(leaders, GetParam() > 1 ? 400U : 200U);
  EXPECT_TRUE(GetParam() < 3 || lost_disks > 60) << lost_disks;
}

// A replica that learned of the founding of its group after it had heard from a
// leader ended, and ended again at every start.
TEST_P(ReplicaPropertyTest, PreservesSafetyPropertiesWhileFoundedLate) {
  size_t granted = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ReplicaCluster cluster(seed, GetParam(), true);
    if (!RunSeed(seed, GetParam(), cluster) || HasFailure()) {
      return;
    }
    granted += cluster.granted();
  }
  EXPECT_GT(granted, 100U);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         ReplicaPropertyTest,
                         testing::Values(1, 2, 3, 5));

}  // namespace
}  // namespace ibisvalve::control

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "support/file_size_limit.h"
#include "support/test_fleet.h"
#include "system/sample_fleet.h"

namespace ibisvalve::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs keepers whose disks take no more bytes for a while.
class FullDiskTest : public testing::Test {
 protected:
  // Every write to a file that is not empty fails.
  static constexpr rlim_t kFull = 1;

  int Apply(const std::string& mark) {
    return fleet_.Apply("# " + mark + "\n" + kSampleFleet);
  }

  // Returns the number of entries that `keeper` has applied.
  static int64_t Applied(const TestKeeper& keeper) {
    return TestFleet::FetchAdminPage(keeper.admin, "/keepers")
        .value("applied", int64_t{-1});
  }

  bool AllAgree() {
    const int64_t first = Applied(fleet_.keepers().front());
    for (const TestKeeper& keeper : fleet_.keepers()) {
      if (first <= 0 || Applied(keeper) != first) {
        return false;
      }
    }
    return true;
  }

  TestFleet fleet_;
};

// Guards against keepers that end, or never take part again, after their disks
// were full for some seconds one after another.
TEST_F(FullDiskTest, DisksThatFillOneAfterAnotherStopNoKeeper) {
  fleet_.StartKeepers(3);
  fleet_.StartNode("roomfinder", "suva");
  ASSERT_EQ(Apply("start"), 0);
  ASSERT_TRUE(fleet_.WaitReady(1));
  int number = 0;
  for (int round = 0; round < 2; ++round) {
    for (TestKeeper& keeper : fleet_.keepers()) {
      {
        const FileSizeLimit full(kFull, keeper.process->pid());
        for (int i = 0; i < 3; ++i) {
          EXPECT_EQ(Apply("change " + std::to_string(++number)), 0);
        }
        EXPECT_FALSE(keeper.process->Wait(milliseconds(0))) << keeper.id;
      }
      EXPECT_TRUE(TestFleet::WaitFor([this] { return AllAgree(); }))
          << keeper.id;
    }
  }
  EXPECT_EQ(Apply("end"), 0);
}

// Guards against a group that stays without a leader after a majority of its
// disks was full.
TEST_F(FullDiskTest, AGroupThatHadNoRoomAcceptsChangesAgain) {
  fleet_.StartKeepers(3);
  fleet_.StartNode("roomfinder", "suva");
  ASSERT_EQ(Apply("start"), 0);
  {
    const FileSizeLimit first(kFull, fleet_.keepers()[0].process->pid());
    const FileSizeLimit second(kFull, fleet_.keepers()[1].process->pid());
    std::this_thread::sleep_for(seconds(3));
  }
  EXPECT_EQ(Apply("end"), 0);
  EXPECT_TRUE(TestFleet::WaitFor([this] { return AllAgree(); }));
  for (TestKeeper& keeper : fleet_.keepers()) {
    EXPECT_FALSE(keeper.process->Wait(milliseconds(0))) << keeper.id;
  }
}

}  // namespace
}  // namespace ibisvalve::test

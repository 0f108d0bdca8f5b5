#include <gtest/gtest.h>

#include <csignal>
#include <future>

#include "support/test_fleet.h"
#include "system/sample_fleet.h"

namespace ibisvalve::test {
namespace {

using std::chrono::seconds;

// Returns the sample configuration with `mark` in a comment, so that each
// applied text differs.
std::string MarkedFleet(const std::string& mark) {
  return "# " + mark + "\n" + kSampleFleet;
}

class ControlSystemTest : public testing::Test {
 protected:
  int64_t NodeRevision(const TestNode& node) {
    return TestFleet::FetchAdminPage(node.admin, "/healthz")
        .value("revision", -1);
  }

  TestFleet fleet_;
};

TEST_F(ControlSystemTest, KilledKeeperRestoresItsRevision) {
  fleet_.StartKeepers(1);
  TestNode& node = fleet_.StartNode("roomfinder", "suva");
  ASSERT_EQ(fleet_.Apply(MarkedFleet("one")), 0);
  ASSERT_EQ(fleet_.Apply(MarkedFleet("two")), 0);
  ASSERT_TRUE(fleet_.WaitReady(1));
  const int64_t revision = fleet_.ActiveRevision();
  ASSERT_GT(revision, 0);
  fleet_.keepers()[0].process->Kill();
  fleet_.StartProcess(fleet_.keepers()[0]);
  EXPECT_TRUE(
      TestFleet::WaitFor([&] { return fleet_.ActiveRevision() == revision; }));
  EXPECT_EQ(NodeRevision(node), revision);
}

TEST_F(ControlSystemTest, RestartedNodeLoadsTheActiveRevision) {
  fleet_.StartKeepers(3);
  fleet_.StartNode("roomfinder", "suva");
  TestNode& node = fleet_.StartNode("roomfinder", "nadi");
  ASSERT_EQ(fleet_.Apply(MarkedFleet("one")), 0);
  ASSERT_TRUE(fleet_.WaitReady(2));
  const int64_t first = fleet_.ActiveRevision();
  node.process->Signal(SIGTERM);
  ASSERT_EQ(node.process->Wait(seconds(10)), 0);
  ASSERT_EQ(fleet_.Apply(MarkedFleet("two")), 0);
  fleet_.StartProcess(node);
  ASSERT_TRUE(fleet_.WaitReady(2));
  EXPECT_GT(fleet_.ActiveRevision(), first);
  EXPECT_EQ(NodeRevision(node), fleet_.ActiveRevision());
}

TEST_F(ControlSystemTest, ConcurrentAppliesWithOneBaseExactlyOneSucceeds) {
  fleet_.StartKeepers(3);
  fleet_.StartNode("roomfinder", "suva");
  ASSERT_EQ(fleet_.Apply(MarkedFleet("start")), 0);
  ASSERT_TRUE(fleet_.WaitReady(1));
  for (int round = 0; round < 5; ++round) {
    const int64_t base = fleet_.ActiveRevision();
    const std::vector<std::string> options{"--base", std::to_string(base)};
    const std::string mark = std::to_string(round);
    auto second_apply = std::async(std::launch::async, [&] {
      return fleet_.Apply(MarkedFleet("b" + mark), options);
    });
    const int first_status = fleet_.Apply(MarkedFleet("a" + mark), options);
    const int second_status = second_apply.get();
    EXPECT_NE(first_status == 0, second_status == 0)
        << first_status << " and " << second_status;
    EXPECT_EQ(fleet_.ActiveRevision(), base + 1);
  }
}

}  // namespace
}  // namespace ibisvalve::test

#include "control/propagation.h"

#include <gmock/gmock.h>

namespace ibisvalve::control {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::IsEmpty;

class PropagationTest : public testing::Test {
 protected:
  // Adds a session of `node` that reported `active` `age` ago.
  void Add(const std::string& node,
           uint64_t incarnation,
           uint64_t active,
           Duration age) {
    NodeSession& session = sessions_[{NodeId(node), Incarnation(incarnation)}];
    session.report.active = Revision(active);
    session.reported = clock_.Now() - age;
  }
  Propagation Measure(uint64_t revision) {
    return MeasurePropagation(sessions_, {Revision(revision), 0}, clock_.Now());
  }

  ManualClock clock_;
  std::map<ActivationTracker::Key, NodeSession> sessions_;
};

// Guards against counting a node that is cut off as one that will still get a
// change, and the reverse.
TEST_F(PropagationTest, TellsLaggingNodesFromSilentOnes) {
  clock_.Advance(std::chrono::seconds(10));
  Add("current", 1, 7, milliseconds(100));
  Add("newer", 1, 8, milliseconds(5000));
  Add("lagging", 1, 6, milliseconds(600));
  Add("silent", 1, 6, milliseconds(1500));
  const Propagation propagation = Measure(7);
  EXPECT_EQ(propagation.confirmed, 2U);
  EXPECT_THAT(propagation.lagging, ElementsAre(NodeId("lagging")));
  EXPECT_THAT(propagation.silent, ElementsAre(NodeId("silent")));
}

// Guards against waiting for a process that has been restarted, or for one that
// has no file and refuses all requests.
TEST_F(PropagationTest, IgnoresSupersededIncarnationsAndNodesWithoutAFile) {
  clock_.Advance(std::chrono::seconds(10));
  Add("restarted", 1, 6, milliseconds(100));
  Add("restarted", 2, 7, milliseconds(100));
  Add("starting", 1, 0, milliseconds(100));
  const Propagation propagation = Measure(7);
  EXPECT_EQ(propagation.confirmed, 1U);
  EXPECT_THAT(propagation.lagging, IsEmpty());
  EXPECT_THAT(propagation.silent, IsEmpty());
}

}  // namespace
}  // namespace ibisvalve::control

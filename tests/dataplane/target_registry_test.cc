#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "dataplane/dataplane.h"

namespace ibisvalve::dataplane {
namespace {

using world::TargetState;

TargetAnnouncement Announcement(const std::string& identity,
                                uint64_t number,
                                uint64_t started_ms = 0,
                                TargetState state = TargetState::kReady) {
  TargetAnnouncement announcement;
  announcement.identity = identity;
  announcement.number = number;
  announcement.started_ms = started_ms;
  announcement.state = state;
  return announcement;
}

TargetAnnouncement StopAnnouncement(const std::string& identity,
                                    uint64_t started_ms = 0) {
  TargetAnnouncement announcement =
      Announcement(identity, 0, started_ms, TargetState::kDraining);
  announcement.stopping = true;
  return announcement;
}

world::DepartedRuns Departed(const TargetAnnouncement& announcement) {
  return world::DepartedRuns().With(RunOf(announcement));
}

TEST(TargetRegistryTest, AnOlderAnnouncementOfTheSameRunIsIgnored) {
  TargetRegistry registry;
  EXPECT_TRUE(
      registry.Apply(Announcement("i-1", 5, 0, TargetState::kDraining)));
  EXPECT_FALSE(registry.Apply(Announcement("i-1", 4)));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
}

// Guards against a target that leaves and is not let go, because an odd
// announcement had a number that its own never reach.
TEST(TargetRegistryTest, ADrainingTargetIsFollowedWhateverItsNumber) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 4, 1000));
  registry.Apply(Announcement("i-1", uint64_t{1} << 50, 1000));
  EXPECT_FALSE(registry.Apply(Announcement("i-1", 5, 1000)));
  EXPECT_TRUE(
      registry.Apply(Announcement("i-1", 6, 1000, TargetState::kDraining)));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
  EXPECT_FALSE(registry.Apply(Announcement("i-1", 7, 1000)));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
}

TEST(TargetRegistryTest, ALateAnnouncementOfAPreviousRunIsIgnored) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 7));
  EXPECT_TRUE(registry.Apply(Announcement("i-2", 1)));
  EXPECT_FALSE(registry.Apply(Announcement("i-1", 8)));
  EXPECT_EQ(registry.current()->identity, "i-2");
}

TEST(TargetRegistryTest, ARestartWithTheSameIdentityRestartsTheNumbering) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 70, 1000));
  EXPECT_TRUE(registry.Apply(Announcement("i-1", 1, 2000)));
  EXPECT_FALSE(registry.Apply(Announcement("i-1", 71, 1000)));
  EXPECT_EQ(registry.current()->number, 1U);
}

TEST(TargetRegistryTest, AStopAnnouncementIsFinalForItsRunOnly) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 3));
  EXPECT_FALSE(registry.Apply(StopAnnouncement("i-0")));
  EXPECT_EQ(registry.current()->state, TargetState::kReady);
  EXPECT_TRUE(registry.Apply(StopAnnouncement("i-1")));
  EXPECT_FALSE(registry.Apply(Announcement("i-1", 4)));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
  EXPECT_TRUE(registry.Apply(Announcement("i-2", 1)));
  EXPECT_EQ(registry.current()->state, TargetState::kReady);
}

// A node that was killed must not take a late announcement of the run that it
// had acknowledged as gone for a ready target.
TEST(TargetRegistryTest, ARunThatDepartedBeforeARestartIsNotReadyAgain) {
  TargetRegistry registry;
  EXPECT_FALSE(
      registry.RecordDepartures(Departed(Announcement("i-1", 5, 1000))));
  registry.Apply(Announcement("i-1", 4, 1000));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
  registry.Apply(Announcement("i-1", 6, 1000));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
  EXPECT_FALSE(registry.Apply(Announcement("i-0", 9, 500)))
      << "an earlier run is no target either";
  EXPECT_TRUE(registry.Apply(Announcement("i-2", 1, 2000)));
  EXPECT_EQ(registry.current()->state, TargetState::kReady);
}

// The node hears of the departure after it has taken the late announcement.
TEST(TargetRegistryTest, ADepartureThatIsLearnedLateEndsTheCurrentRun) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 4, 1000));
  EXPECT_TRUE(
      registry.RecordDepartures(Departed(Announcement("i-1", 5, 1000))));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
  registry.Apply(Announcement("i-2", 1, 2000));
  EXPECT_FALSE(
      registry.RecordDepartures(Departed(Announcement("i-1", 5, 1000))));
  EXPECT_EQ(registry.current()->state, TargetState::kReady);
}

// The same id may start again; only its start tells the two runs apart.
TEST(TargetRegistryTest, ADepartureDoesNotHoldForALaterRunOfTheSameIdentity) {
  TargetRegistry registry;
  registry.RecordDepartures(Departed(Announcement("i-1", 5, 1000)));
  EXPECT_TRUE(registry.Apply(Announcement("i-1", 1, 2000)));
  EXPECT_EQ(registry.current()->state, TargetState::kReady);
}

// The first announcement of a run may arrive after the one of its departure.
TEST(TargetRegistryTest, ARunThatDepartedBeforeItWasSeenIsNotReady) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 4, 1000));
  registry.Apply(StopAnnouncement("i-2", 2000));
  EXPECT_EQ(registry.current()->identity, "i-1");
  EXPECT_EQ(registry.current()->state, TargetState::kReady)
      << "the departure of another run says nothing about the current one";
  registry.Apply(Announcement("i-2", 1, 2000));
  registry.Apply(Announcement("i-2", 2, 2000));
  EXPECT_FALSE(registry.current()->identity == "i-2" &&
               registry.current()->state == TargetState::kReady);
  EXPECT_TRUE(registry.Apply(Announcement("i-3", 1, 3000)));
  EXPECT_EQ(registry.current()->state, TargetState::kReady);
}

// A target that starts again may keep its identity. The departure of its later
// run may be known before that run is, and requests that name the identity
// would reach it.
TEST(TargetRegistryTest, ADepartureOfALaterRunOfTheIdentityEndsTheCurrentRun) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 4, 1000));
  registry.Apply(StopAnnouncement("i-1", 2000));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
  registry.Apply(Announcement("i-1", 1, 2000));
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
  registry.Apply(Announcement("i-1", 1, 3000));
  EXPECT_EQ(registry.current()->state, TargetState::kReady);
}

// A late departure of an earlier run must not end its successor, and that of
// the successor must not make the earlier run ready.
TEST(TargetRegistryTest, DeparturesOfTwoRunsAreKeptApart) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 4, 1000));
  registry.Apply(Announcement("i-2", 1, 2000));
  registry.Apply(StopAnnouncement("i-1", 1000));
  EXPECT_EQ(registry.current()->identity, "i-2");
  EXPECT_EQ(registry.current()->state, TargetState::kReady);
  registry.Apply(StopAnnouncement("i-2", 2000));
  registry.Apply(Announcement("i-1", 5, 1000));
  registry.Apply(Announcement("i-2", 5, 2000));
  EXPECT_EQ(registry.current()->identity, "i-2");
  EXPECT_EQ(registry.current()->state, TargetState::kDraining);
}

// Of two runs with the same start, a late announcement does not bring back the
// one that was replaced, and a new one does.
TEST(TargetRegistryTest, ALateAnnouncementOfARunWithTheSameStartIsIgnored) {
  TargetRegistry registry;
  registry.Apply(Announcement("i-1", 4, 1000));
  EXPECT_TRUE(registry.Apply(Announcement("i-2", 1, 1000)));
  EXPECT_FALSE(registry.Apply(Announcement("i-1", 4, 1000)));
  EXPECT_EQ(registry.current()->identity, "i-2");
  EXPECT_TRUE(registry.Apply(Announcement("i-1", 5, 1000)));
  EXPECT_TRUE(registry.Apply(Announcement("i-2", 2, 1000)));
  EXPECT_EQ(registry.current()->identity, "i-2");
}

// The runs of one host's target, one after the other: at most two have the same
// start, and some the identity of an earlier one.
std::vector<world::TargetRun> ArbitraryRuns() {
  std::vector<world::TargetRun> runs;
  const auto count = *rc::gen::inRange<size_t>(1, 8);
  for (size_t i = 0; i < count; ++i) {
    const bool same_start = i % 2 == 1 && *rc::gen::arbitrary<bool>();
    const bool same_identity =
        i > 1 && !same_start && *rc::gen::arbitrary<bool>();
    runs.push_back(
        {same_start ? runs.back().started_ms : 1000 * (i + 1),
         Digest(same_identity ? runs[i - 2].identity.value : i + 1)});
  }
  return runs;
}

// Announcements that are delayed, repeated and reordered, and a node that is
// killed in between: a run whose departure was acknowledged is never ready
// again, and the last run is used if it stays.
RC_GTEST_PROP(TargetRegistryTest, NoOrderMakesADepartedRunReady, ()) {
  std::vector<TargetAnnouncement> sent;
  const std::vector<world::TargetRun> runs = ArbitraryRuns();
  for (const world::TargetRun& run : runs) {
    const std::string identity = "i-" + std::to_string(run.identity.value);
    const auto count = *rc::gen::inRange<uint64_t>(0, 4);
    for (uint64_t number = 1; number <= count; ++number) {
      sent.push_back(Announcement(identity, number, run.started_ms));
    }
    if (run == runs.back()) {
      break;
    }
    if (*rc::gen::arbitrary<bool>()) {
      sent.push_back(Announcement(identity, count + 1, run.started_ms,
                                  TargetState::kDraining));
    }
    if (*rc::gen::arbitrary<bool>()) {
      sent.push_back(StopAnnouncement(identity, run.started_ms));
    }
  }
  TargetRegistry registry;
  world::DepartedRuns fleet;
  std::vector<world::TargetRun> acknowledged;
  const auto deliver = [&](const TargetAnnouncement& announcement) {
    registry.Apply(announcement);
    const auto run = registry.FindRun(announcement);
    if (IsDeparture(announcement) && run) {
      fleet = fleet.With(*run);
      registry.RecordDepartures(fleet);
      RC_ASSERT(fleet.Covers(*run));
      acknowledged.push_back(*run);
    }
    if (registry.current() &&
        registry.current()->state == TargetState::kReady) {
      const world::TargetRun ready = RunOf(*registry.current());
      for (const world::TargetRun& gone : acknowledged) {
        RC_ASSERT(gone.identity != ready.identity ||
                  gone.started_ms < ready.started_ms);
      }
    }
  };
  const auto steps = *rc::gen::inRange<int>(0, 60);
  for (int step = 0; step < steps && !sent.empty(); ++step) {
    if (*rc::gen::inRange(0, 8) == 0) {
      registry = TargetRegistry();
      registry.RecordDepartures(fleet);
    }
    deliver(sent[*rc::gen::inRange<size_t>(0, sent.size())]);
  }
  const std::string last = "i-" + std::to_string(runs.back().identity.value);
  deliver(Announcement(last, 10, runs.back().started_ms));
  RC_ASSERT(registry.current()->identity == last);
  RC_ASSERT(registry.current()->state == TargetState::kReady);
}

}  // namespace
}  // namespace ibisvalve::dataplane

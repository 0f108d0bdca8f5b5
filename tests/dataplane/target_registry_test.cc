#include <gtest/gtest.h>

#include "dataplane/dataplane.h"

namespace ibisvalve::dataplane {
namespace {

using world::TargetState;

TargetAnnouncement Says(const std::string& identity,
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

TargetAnnouncement Leaves(const std::string& identity) {
  TargetAnnouncement announcement =
      Says(identity, 0, 0, TargetState::kDraining);
  announcement.leaves = true;
  return announcement;
}

TEST(TargetRegistryTest, AnOlderAnnouncementOfTheSameRunChangesNothing) {
  TargetRegistry registry;
  EXPECT_TRUE(registry.Take(Says("i-1", 5, 0, TargetState::kDraining)));
  EXPECT_FALSE(registry.Take(Says("i-1", 4)));
  EXPECT_EQ(registry.present()->state, TargetState::kDraining);
}

TEST(TargetRegistryTest, ALateAnnouncementOfAFormerRunChangesNothing) {
  TargetRegistry registry;
  registry.Take(Says("i-1", 7));
  EXPECT_TRUE(registry.Take(Says("i-2", 1)));
  EXPECT_FALSE(registry.Take(Says("i-1", 8)));
  EXPECT_EQ(registry.present()->identity, "i-2");
}

TEST(TargetRegistryTest, TheSameIdentityStartedLaterCountsAnew) {
  TargetRegistry registry;
  registry.Take(Says("i-1", 70, 1000));
  EXPECT_TRUE(registry.Take(Says("i-1", 1, 2000)));
  EXPECT_FALSE(registry.Take(Says("i-1", 71, 1000)));
  EXPECT_EQ(registry.present()->number, 1U);
}

TEST(TargetRegistryTest, AFarewellIsFinalForItsRunOnly) {
  TargetRegistry registry;
  registry.Take(Says("i-1", 3));
  EXPECT_FALSE(registry.Take(Leaves("i-0")));
  EXPECT_EQ(registry.present()->state, TargetState::kReady);
  EXPECT_TRUE(registry.Take(Leaves("i-1")));
  EXPECT_FALSE(registry.Take(Says("i-1", 4)));
  EXPECT_EQ(registry.present()->state, TargetState::kDraining);
  EXPECT_TRUE(registry.Take(Says("i-2", 1)));
  EXPECT_EQ(registry.present()->state, TargetState::kReady);
}

}  // namespace
}  // namespace ibisvalve::dataplane

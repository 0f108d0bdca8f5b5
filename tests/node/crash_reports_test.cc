#include "node/crash_reports.h"

#include <gtest/gtest.h>

namespace ibisvalve::node {
namespace {

constexpr size_t kMaxCrashes = 10;

// The crashes that a node knows, by resource.
class CrashReportsTest : public testing::Test {
 protected:
  void Add(uint64_t resource, uint64_t crashes) {
    world::CrashRecord& record = known_[Digest(resource)];
    record.resource = Digest(resource);
    for (uint64_t number = 1; number <= crashes; ++number) {
      record.crashes.push_back(
          {{NodeId("n"), Incarnation(1), number}, Digest(1), 0});
    }
  }
  void Clear(uint64_t resource) {
    for (world::KnownCrash& crash : known_[Digest(resource)].crashes) {
      crash.cleared = crash.resource_cleared = true;
    }
  }
  std::vector<world::CrashRecord> Next() {
    std::vector<world::CrashRecord> repeated;
    for (const auto& [resource, record] : known_) {
      if (world::WeightOf(record) != world::CrashWeight::kNone) {
        repeated.push_back(record);
      }
    }
    return reports_.Next(
        repeated, [this](Digest resource) { return known_[resource]; },
        kMaxCrashes);
  }

  std::map<Digest, world::CrashRecord> known_;
  CrashReports reports_;
};

// Guards against links that are filled with the same records every second.
TEST_F(CrashReportsTest, ARecordIsToldOnceAndAgainWhenItChanges) {
  Add(1, 2);
  EXPECT_EQ(Next().size(), 1U);
  EXPECT_TRUE(Next().empty());
  reports_.Repeat();
  EXPECT_EQ(Next().size(), 1U);
}

// Guards against keepers that remember a quarantine for good because nodes stop
// to tell of a request once it is cleared.
TEST_F(CrashReportsTest, TellsThatACrashIsCleared) {
  Add(1, 2);
  Next();
  Clear(1);
  const auto report = Next();
  ASSERT_EQ(report.size(), 1U);
  EXPECT_TRUE(report[0].crashes[0].cleared);
  EXPECT_TRUE(Next().empty());
}

// Guards against a report of megabytes after many targets have ended.
TEST_F(CrashReportsTest, ALargeReportIsSplit) {
  for (uint64_t resource = 1; resource <= 7; ++resource) {
    Add(resource, 4);
  }
  size_t told = 0;
  for (int report = 0; report < 4; ++report) {
    const size_t records = Next().size();
    EXPECT_LE(records, 2U);
    told += records;
  }
  EXPECT_EQ(told, 7U);
  EXPECT_TRUE(Next().empty());
}

// Crashes of requests that nothing counts against are not told at all.
TEST_F(CrashReportsTest, ClearedCrashesAreNotTold) {
  Add(1, 2);
  Clear(1);
  EXPECT_TRUE(Next().empty());
}

}  // namespace
}  // namespace ibisvalve::node

#include "dataplane/load_tracker.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace ibisvalve::dataplane {
namespace {

constexpr uint64_t kUsualServiceUs = 20'000;

// Parses a load that consists of a slowdown in percent.
std::optional<TargetLoad> ParseSlowdown(std::string_view text) {
  TargetLoad load;
  load.slowdown = std::atof(std::string(text).c_str()) / wire::kPercent;
  return load;
}

class LoadTrackerTest : public testing::Test {
 protected:
  LoadTrackerTest() {
    settings_.names.load = "X-Load";
    settings_.names.parse_load = ParseSlowdown;
    settings_.link_mbps = 8;
    tracker_ = std::make_unique<LoadTracker>(
        loop_, settings_, nullptr,
        LoadTracker::Handlers{[](const wire::Headers&) {}, [] {},
                              [this] { ++changes_; }});
  }

  void ReportLoad(const std::string& percent) {
    tracker_->UpdateFromHeaders({{"X-Load", percent}});
  }
  wire::LoadHint Hint() const {
    wire::LoadHint hint;
    tracker_->FillHint(hint);
    return hint;
  }
  void Wait(Duration time) {
    net::Timer timer(loop_, [this] { loop_.Stop(); });
    timer.StartOnce(time);
    loop_.Run();
  }

  net::EventLoop loop_;
  PlaneSettings settings_;
  int changes_ = 0;
  std::unique_ptr<LoadTracker> tracker_;
};

TEST_F(LoadTrackerTest, TheExpectedServiceTimeFollowsTheReportedSlowdown) {
  EXPECT_EQ(tracker_->ExpectedServiceTime(kUsualServiceUs),
            Duration(kUsualServiceUs));
  ReportLoad("700");
  EXPECT_EQ(tracker_->ExpectedServiceTime(kUsualServiceUs),
            Duration(7 * kUsualServiceUs));
  EXPECT_TRUE(tracker_->IsSlowed());
  EXPECT_EQ(Hint().slowdown_percent, 700);
  ReportLoad("30");  // a slowdown below 100% must not shorten the expected time
  EXPECT_EQ(tracker_->ExpectedServiceTime(kUsualServiceUs),
            Duration(kUsualServiceUs));
}

// Two runs take the same time, but one target had reported a slowdown of 7. Its
// run is as slow as expected, so it must hardly raise the pace.
TEST_F(LoadTrackerTest, OnlyAnUnreportedSlowdownRaisesThePace) {
  LoadTracker unreported(
      loop_, settings_, nullptr,
      LoadTracker::Handlers{[](const wire::Headers&) {}, [] {}, [] {}});
  ReportLoad("700");
  tracker_->BeginRun({Incarnation(1), 1}, kUsualServiceUs);
  unreported.BeginRun({Incarnation(1), 2}, kUsualServiceUs);
  Wait(std::chrono::microseconds(4 * kUsualServiceUs));
  wire::LoadHint hint;
  unreported.FillHint(hint);
  EXPECT_GT(hint.pace_percent, 400);
  EXPECT_LT(Hint().pace_percent * 3, hint.pace_percent);
}

TEST_F(LoadTrackerTest, NotifiesOnlyOfSignificantChanges) {
  ReportLoad("100");
  EXPECT_EQ(changes_, 0);
  ReportLoad("700");
  EXPECT_EQ(changes_, 1);
  ReportLoad("650");
  EXPECT_EQ(changes_, 1);
}

// Pattern: a slow phase ends right after ingresses were notified of it. Without
// a later notification they avoid the target until they send it a request.
TEST_F(LoadTrackerTest, AChangeSoonAfterANotificationIsReportedLater) {
  ReportLoad("700");
  EXPECT_EQ(changes_, 1);
  ReportLoad("100");
  EXPECT_EQ(changes_, 1);
  Wait(std::chrono::milliseconds(60));
  EXPECT_EQ(changes_, 2);
}

TEST_F(LoadTrackerTest, ABusyLinkRaisesTheTransferTime) {
  const uint32_t idle = Hint().transfer_us_per_kib;
  EXPECT_EQ(idle, 1024);  // 8 Mbit/s
  tracker_->OnBytesReceived(300'000);
  EXPECT_GT(Hint().transfer_us_per_kib, 3 * idle);
}

TEST_F(LoadTrackerTest, AMalformedLoadHeaderIsIgnored) {
  settings_.names.parse_load =
      [](std::string_view) -> std::optional<TargetLoad> {
    return std::nullopt;
  };
  ReportLoad("700");
  tracker_->UpdateFromHeaders({});
  EXPECT_FALSE(tracker_->IsSlowed());
}

}  // namespace
}  // namespace ibisvalve::dataplane

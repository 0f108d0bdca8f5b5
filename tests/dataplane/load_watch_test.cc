#include "dataplane/load_watch.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace ibisvalve::dataplane {
namespace {

constexpr uint64_t kUsualUs = 20'000;

// Parses a load that consists of a slowdown in percent.
std::optional<TargetLoad> ParseSlowdown(std::string_view text) {
  TargetLoad load;
  load.slowdown = std::atof(std::string(text).c_str()) / wire::kPercent;
  return load;
}

class LoadWatchTest : public testing::Test {
 protected:
  LoadWatchTest() {
    settings_.names.load = "X-Load";
    settings_.names.parse_load = ParseSlowdown;
    settings_.link_mbps = 8;
    watch_ = std::make_unique<LoadWatch>(
        loop_, settings_, nullptr,
        LoadWatch::Handlers{[] {}, [this] { ++changes_; }});
  }

  void Tell(const std::string& percent) { watch_->Note({{"X-Load", percent}}); }
  wire::LoadHint Hint() const {
    wire::LoadHint hint;
    watch_->Describe(hint);
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
  std::unique_ptr<LoadWatch> watch_;
};

TEST_F(LoadWatchTest, ExpectsRunsToTakeAsLongAsTheTargetTells) {
  EXPECT_EQ(watch_->Expected(kUsualUs), Duration(kUsualUs));
  Tell("700");
  EXPECT_EQ(watch_->Expected(kUsualUs), Duration(7 * kUsualUs));
  EXPECT_TRUE(watch_->IsSlowed());
  EXPECT_EQ(Hint().slowdown_percent, 700);
  Tell("30");  // a slowdown below 100% must not shorten the expected time
  EXPECT_EQ(watch_->Expected(kUsualUs), Duration(kUsualUs));
}

// Two runs take the same time, but one target had reported a slowdown of 7. Its
// run is as slow as expected, so it must hardly raise the pace.
TEST_F(LoadWatchTest, OnlyWhatWasNotToldCountsAsPace) {
  LoadWatch silent(loop_, settings_, nullptr,
                   LoadWatch::Handlers{[] {}, [] {}});
  Tell("700");
  watch_->BeginRun({Incarnation(1), 1}, kUsualUs);
  silent.BeginRun({Incarnation(1), 2}, kUsualUs);
  Wait(std::chrono::microseconds(4 * kUsualUs));
  wire::LoadHint hint;
  silent.Describe(hint);
  EXPECT_GT(hint.pace_percent, 400);
  EXPECT_LT(Hint().pace_percent * 3, hint.pace_percent);
}

TEST_F(LoadWatchTest, TellsOfChangesThatMatterOnly) {
  Tell("100");
  EXPECT_EQ(changes_, 0);
  Tell("700");
  EXPECT_EQ(changes_, 1);
  Tell("650");
  EXPECT_EQ(changes_, 1);
}

TEST_F(LoadWatchTest, TellsThatItsLinkIsFull) {
  const uint32_t idle = Hint().kib_us;
  EXPECT_EQ(idle, 1024);  // 8 Mbit/s
  watch_->Received(300'000);
  EXPECT_GT(Hint().kib_us, 3 * idle);
}

TEST_F(LoadWatchTest, ALoadThatCannotBeReadChangesNothing) {
  settings_.names.parse_load =
      [](std::string_view) -> std::optional<TargetLoad> {
    return std::nullopt;
  };
  Tell("700");
  watch_->Note({});
  EXPECT_FALSE(watch_->IsSlowed());
}

}  // namespace
}  // namespace ibisvalve::dataplane

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "node/node.h"

namespace ibisvalve::node {
namespace {

constexpr char kSettings[] =
    "id: n1\nrole: node\nregion: r\nzone: z\ncallers: 127.0.0.1:1\n"
    "mesh: 127.0.0.1:2\ngossip: 127.0.0.1:2\nkeepers: [127.0.0.1:3]\n";

class SettingsWatchTest : public testing::Test {
 protected:
  SettingsWatchTest()
      : path_(std::filesystem::temp_directory_path() /
              ("settings-" + std::to_string(NewIncarnation().value))) {
    Write(kSettings);
  }
  ~SettingsWatchTest() override { std::filesystem::remove(path_); }

  void Write(const std::string& text) { std::ofstream(path_) << text; }

  std::filesystem::path path_;
  net::EventLoop loop_;
  std::vector<config::Settings> seen_;
};

TEST_F(SettingsWatchTest, CallsBackOnlyForDifferentSettings) {
  SettingsWatch watch(
      loop_, path_.string(), LoadSettings(path_.string()),
      [this](const config::Settings& settings) { seen_.push_back(settings); });
  watch.Check();
  Write(std::string(kSettings) + "# a remark\n");
  watch.Check();
  EXPECT_TRUE(seen_.empty());
  Write(std::string(kSettings) + "seeds: [127.0.0.1:9]\n");
  watch.Check();
  watch.Check();
  ASSERT_EQ(seen_.size(), 1U);
  EXPECT_EQ(seen_[0].seeds.front().port, 9);
}

TEST_F(SettingsWatchTest, InvalidTruncatedOrMissingFileChangesNothing) {
  SettingsWatch watch(
      loop_, path_.string(), LoadSettings(path_.string()),
      [this](const config::Settings& settings) { seen_.push_back(settings); });
  for (const char* text : {"id: n1\nrole: nod", "", "\xff\xfe", "[[[["}) {
    Write(text);
    watch.Check();
  }
  std::filesystem::remove(path_);
  watch.Check();
  EXPECT_TRUE(seen_.empty());
  Write(std::string(kSettings) + "seeds: [127.0.0.1:9]\n");
  watch.Check();
  EXPECT_EQ(seen_.size(), 1U);
}

}  // namespace
}  // namespace ibisvalve::node

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/config.h"
#include "config/source_file.h"

namespace ibisvalve::config {
namespace {

using testing::ElementsAre;
using testing::SizeIs;

std::vector<std::string> PathsOf(const std::string& text) {
  std::vector<std::string> paths;
  try {
    ParseSettings(text, "settings.yaml");
  } catch (const InvalidInput& error) {
    for (const Finding& finding : error.findings()) {
      paths.push_back(finding.place.path);
    }
  }
  return paths;
}

const char kNode[] =
    "id: n1\nrole: node\nregion: r\nzone: z\ncallers: 127.0.0.1:0\n"
    "mesh: 127.0.0.1:0\ngossip: 127.0.0.1:0\nkeepers: [127.0.0.1:7]\n";

TEST(SettingsParserTest, ReadsTheExampleFiles) {
  const Settings node = ParseSettings(
      ReadSourceFile("examples/settings-node.yaml"), "settings-node.yaml");
  EXPECT_EQ(node.role, Role::kNode);
  EXPECT_EQ(node.location,
            (world::Location{RegionName("viti-levu"), ZoneName("suva")}));
  EXPECT_EQ(node.callers, (world::Endpoint{"127.0.0.1", 8001}));
  EXPECT_EQ(
      node.target,
      (TargetSettings{
          ServiceName("bookdesk"), {"127.0.0.1", 8101}, 20, "/health", false}));
  EXPECT_EQ(node.limits, ProcessLimits{});
  EXPECT_THAT(node.keepers, SizeIs(3));
  EXPECT_THAT(node.seeds, SizeIs(2));

  const Settings keeper = ParseSettings(
      ReadSourceFile("examples/settings-keeper.yaml"), "settings-keeper.yaml");
  EXPECT_EQ(keeper.role, Role::kKeeper);
  EXPECT_EQ(keeper.data, "/var/lib/ibisvalve");
}

TEST(SettingsParserTest, AdminIsOnLoopbackByDefault) {
  const Settings settings = ParseSettings(kNode, "");
  EXPECT_EQ(settings.admin, (world::Endpoint{"127.0.0.1", 0}));
  EXPECT_EQ(settings.policy, ChoicePolicy::kWeighed);
  EXPECT_FALSE(settings.target.has_value());
}

TEST(SettingsParserTest, KeysOfTheOtherRoleAreFindings) {
  EXPECT_THAT(PathsOf(std::string(kNode) + "data: /tmp\n"),
              ElementsAre("data"));
  EXPECT_THAT(PathsOf("id: k\nrole: keeper\nregion: r\nzone: z\ndata: /d\n"
                      "control: 127.0.0.1:1\nkeepers: [127.0.0.1:1]\n"
                      "callers: 127.0.0.1:2\nreports: true\n"),
              ElementsAre("callers", "reports"));
}

TEST(SettingsParserTest, ReportsEveryError) {
  EXPECT_THAT(
      PathsOf("id: n 1\nrole: node\nregion: r\nzone: z\n"
              "callers: localhost:80\nmesh: 0.0.0.0:7000\n"
              "gossip: 127.0.0.1:7000\nadmin: 127.0.0.1:70000\n"
              "keepers: [127.0.0.1:0]\nseeds: [127.0.0.1:1, 127.0.0.1:1]\n"
              "polcy: random\n"
              "target: {service: s, endpoint: 127.0.0.1:9, slots: 0}\n"
              "limits: {link_silence: 300}\n"),
      ElementsAre("id", "callers", "mesh", "admin", "keepers[0]", "seeds[1]",
                  "polcy", "target.slots", "limits.link_silence"));
}

TEST(SettingsParserTest, ListenerAddressesDiffer) {
  EXPECT_THAT(
      PathsOf("id: n1\nrole: node\nregion: r\nzone: z\n"
              "callers: 127.0.0.1:1\nmesh: 127.0.0.1:1\n"
              "gossip: 127.0.0.1:1\nkeepers: [127.0.0.1:7]\n"
              "target: {service: s, endpoint: 127.0.0.1:1, slots: 1}\n"),
      ElementsAre("mesh", "target.endpoint"));
}

}  // namespace
}  // namespace ibisvalve::config

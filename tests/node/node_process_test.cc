#include "node/node.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>

#include "support/test_fleet.h"

namespace ibisvalve::node {
namespace {

// Guards against a node that spends its share of the processor on parsing the
// same file again: a change is in force the later, the larger the file is.
TEST(NodeProcessTest, ParsesEachFileOnce) {
  net::EventLoop loop;
  std::string data = testing::TempDir() + "ibis-node-XXXXXX";
  ASSERT_NE(mkdtemp(data.data()), nullptr);
  control::KeeperSettings group;
  group.id = NodeId("keeper-1");
  group.control = test::FreeEndpoint();
  group.data = data;
  group.keepers = {group.control};
  control::Keeper keeper(loop, group, [](const std::string&) {
    return control::CheckedFile{"", std::chrono::seconds(2), true};
  });

  config::Settings settings;
  settings.id = NodeId("suva-1");
  settings.callers = settings.mesh = settings.gossip = settings.admin =
      world::Endpoint{"127.0.0.1", 0};
  settings.keepers = {group.control};
  std::vector<std::string> parsed;
  NodeOptions options;
  options.parse = [&](const std::string& text, const std::string&) {
    parsed.push_back(text);
    return world::Fleet();
  };
  NodeProcess node(loop, settings, options);

  int answers = 0;
  for (const char* number : {"1", "2"}) {
    const std::string base = std::to_string(answers);
    keeper.HandleRequest(
        {"POST", "/apply", {{"change", number}, {"base", base}}, number},
        [&](const net::AdminResponse& answer) {
          EXPECT_EQ(answer.status, 200) << answer.body;
          ++answers;
          loop.Stop();
        });
    loop.Run();
    const size_t expected = static_cast<size_t>(answers);
    net::Timer check(loop, [&] {
      if (parsed.size() >= expected && node.ready()) {
        loop.Stop();
      }
    });
    check.StartPeriodic(std::chrono::milliseconds(5));
    loop.Run();
  }
  EXPECT_EQ(parsed, (std::vector<std::string>{"1", "2"}));
  std::filesystem::remove_all(data);
}

}  // namespace
}  // namespace ibisvalve::node

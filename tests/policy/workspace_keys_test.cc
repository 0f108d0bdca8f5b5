#include "policy/workspace_keys.h"

#include <gtest/gtest.h>

namespace ibisvalve::policy {
namespace {

std::shared_ptr<world::Fleet> FleetOf(size_t workspaces) {
  auto fleet = std::make_shared<world::Fleet>();
  fleet->workspaces.emplace();
  for (size_t i = 0; i < workspaces; ++i) {
    world::Workspace workspace;
    workspace.name = "w" + std::to_string(i);
    workspace.keys = {"first-" + workspace.name, "second-" + workspace.name};
    fleet->workspaces->push_back(workspace);
  }
  return fleet;
}

// Guards against a key that opens another workspace, among as many as the
// largest fleet has.
TEST(WorkspaceKeysTest, EachKeyBelongsToItsWorkspace) {
  constexpr size_t kWorkspaces = 10'000;
  const auto fleet = FleetOf(kWorkspaces);
  const WorkspaceKeys keys(fleet, 7);
  for (const world::Workspace& workspace : *fleet->workspaces) {
    for (const std::string& key : workspace.keys) {
      ASSERT_EQ(keys.Find(key), &workspace);
    }
  }
}

// Guards against keys that are accepted by their beginning or their length.
TEST(WorkspaceKeysTest, UnknownKeysAreNotFound) {
  const WorkspaceKeys keys(FleetOf(2), 7);
  for (const std::string& key :
       {std::string(), std::string("first-w"), std::string("first-w00"),
        std::string("First-w0"), std::string("first-w0\0", 9),
        std::string(64 << 10, 'k'), std::string("\xc3\xa9")}) {
    EXPECT_EQ(keys.Find(key), nullptr) << key.size();
  }
}

}  // namespace
}  // namespace ibisvalve::policy

#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/http_call.h"
#include "support/process.h"
#include "world/world.h"

namespace ibisvalve::test {

/// A keeper of a test.
struct TestKeeper {
  std::string id;
  world::Endpoint control;
  world::Endpoint admin;
  std::filesystem::path data;
  std::unique_ptr<Process> process;
};

/// A node of a test, and the target beside it.
struct TestNode {
  std::string id;
  std::string zone;
  std::string service;
  world::Endpoint callers;
  world::Endpoint mesh;
  world::Endpoint gossip;
  world::Endpoint admin;
  world::Endpoint target;
  std::filesystem::path run_log;
  std::unique_ptr<Process> process;
  std::unique_ptr<Process> target_process;
};

/// Keepers, nodes and fake targets as processes on loopback, in a folder of
/// their own, which is kept when the test has failed.
class TestFleet {
 public:
  TestFleet();
  ~TestFleet();
  TestFleet(const TestFleet&) = delete;
  TestFleet& operator=(const TestFleet&) = delete;

  /// Starts `count` keepers.
  void StartKeepers(size_t count);
  /// Starts a node in `zone` with a target of `service`, which takes
  /// `service_time` ("5ms") for each request.
  TestNode& StartNode(const std::string& service,
                      const std::string& zone,
                      const std::string& service_time = "2ms");
  /// Starts the process of a keeper or node (again).
  void Launch(TestKeeper& keeper);
  void Launch(TestNode& node);
  void LaunchTarget(TestNode& node, const std::string& service_time);
  /// Applies `text` through ibisctl; returns its exit status.
  int Apply(const std::string& text,
            const std::vector<std::string>& options = {});
  /// Waits until every running node holds its lease and sees `targets` targets
  /// ready; returns whether that came about.
  bool WaitReady(size_t targets);
  /// Asks `done` again and again until it holds; false after `limit`.
  static bool WaitFor(const std::function<bool()>& done,
                      Duration limit = std::chrono::seconds(15));
  /// Returns the JSON of an admin page, or null without an answer.
  static nlohmann::json Page(const world::Endpoint& admin,
                             const std::string& path);
  /// Returns the state of the target of `node` as `viewer` sees it.
  static std::string TargetSeen(const TestNode& viewer, const TestNode& node);
  /// Returns the active revision that keepers report, or -1.
  int64_t ActiveRevision();
  /// Returns how often each key or run started at any target.
  std::map<std::string, int> Starts(const std::string& field) const;

  std::vector<TestKeeper>& keepers() { return keepers_; }
  std::vector<std::unique_ptr<TestNode>>& nodes() { return nodes_; }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  std::string KeeperList() const;
  std::string KeeperAdmins() const;

  std::filesystem::path folder_;
  std::vector<TestKeeper> keepers_;
  std::vector<std::unique_ptr<TestNode>> nodes_;
  size_t applies_ = 0;
};

/// Returns a loopback endpoint whose port is free for TCP and UDP. It lies
/// outside the range that the system gives to outgoing connections.
world::Endpoint FreeEndpoint();

}  // namespace ibisvalve::test

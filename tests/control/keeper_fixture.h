#pragma once

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/control.h"
#include "net/net.h"
#include "support/test_fleet.h"

namespace ibisvalve::control {

/// A temporary directory that is removed with the object.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = testing::TempDir() + "ibis-control-XXXXXX";
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Runs several keepers and nodes over real sockets on one event loop.
class KeeperFixture : public testing::Test {
 protected:
  struct KeeperInstance {
    std::unique_ptr<net::AdminServer> admin;
    std::unique_ptr<Keeper> keeper;
  };
  struct Node {
    std::unique_ptr<NodeAgent> agent;
    std::vector<uint64_t> activated;  // revisions, in order of activation
    bool lease = false;
    std::string refusal;  // reason to refuse every file; empty: accept
    std::vector<world::CrashRecord> crashes;      // last told by a keeper
    bool told_of_quarantine = false;              // ever
    std::set<ZoneName> evacuated;                 // last told by a keeper
    std::optional<world::DepartedRuns> departed;  // last told with a lease
  };

  /// Chooses free endpoints for `count` keepers.
  void Reserve(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      endpoints_.push_back(test::FreeEndpoint());
    }
    keepers_.resize(endpoints_.size());
  }

  void StartKeeper(size_t number, bool knows_others = true) {
    KeeperSettings settings;
    settings.id = NodeId("keeper-" + std::to_string(number + 1));
    settings.control = endpoints_[number];
    settings.data = DataOf(number);
    if (knows_others) {
      settings.keepers = endpoints_;
    }
    settings.manages_membership = manages_membership_;
    settings.tolerated_disk_losses = 2;
    KeeperInstance& instance = keepers_[number];
    instance.admin = std::make_unique<net::AdminServer>(
        loop_, world::Endpoint{"127.0.0.1", 0});
    instance.keeper = std::make_unique<Keeper>(
        loop_, settings, [this](const std::string& text) {
          return CheckedFile{text.starts_with("bad") ? "line 1: bad" : "",
                             std::chrono::seconds(2), activates_immediately_,
                             zones_, quotas_};
        });
    instance.keeper->Serve(*instance.admin);
  }

  void StopKeeper(size_t number) {
    keepers_[number].admin.reset();
    keepers_[number].keeper.reset();
  }

  void LoseDisk(size_t number) { std::filesystem::remove_all(DataOf(number)); }

  std::string DataOf(size_t number) const {
    return folder_.path() + "/keeper-" + std::to_string(number + 1);
  }

  std::unique_ptr<Node> StartNode(const std::string& name) {
    auto node = std::make_unique<Node>();
    world::Member self;
    self.id = NodeId(name);
    self.incarnation = NewIncarnation();
    Node* raw = node.get();
    node->agent = std::make_unique<NodeAgent>(
        loop_, endpoints_, self,
        NodeAgent::Handlers{
            [raw](const ConfigFile&) { return raw->refusal; },
            [raw](const ConfigFile& file) {
              raw->activated.push_back(file.revision.value);
            },
            [raw](bool held) { raw->lease = held; }, [] { return "{}"; },
            [raw](const auto& records) {
              raw->crashes = records;
              for (const world::CrashRecord& record : records) {
                raw->told_of_quarantine |=
                    world::WeightOf(record) == world::CrashWeight::kQuarantines;
              }
            },
            [raw](const auto& zones) { raw->evacuated = zones; },
            [raw](const auto& departed) { raw->departed = departed; }});
    return node;
  }

  /// Runs the loop until `condition` holds, but no longer than `limit`. Returns
  /// whether it held. The condition may run the loop itself.
  bool RunUntil(const std::function<bool()>& condition,
                Duration limit = std::chrono::seconds(30)) {
    const Time end = loop_.Now() + limit;
    while (!condition()) {
      if (loop_.Now() >= end) {
        return false;
      }
      net::Timer pause(loop_, [this] { loop_.Stop(); });
      pause.StartOnce(std::chrono::milliseconds(5));
      loop_.Run();
    }
    return true;
  }

  void RunFor(Duration duration) {
    const Time end = loop_.Now() + duration;
    RunUntil([&] { return loop_.Now() >= end; }, duration * 2);
  }

  /// Sends a request to keeper `number` and returns its answer.
  net::HttpResult Ask(size_t number,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body = "") {
    net::HttpResult answer;
    bool done = false;
    net::FetchHttp(loop_, keepers_[number].admin->local(), method, path, body,
                   std::chrono::seconds(20), [&](const net::HttpResult& got) {
                     answer = got;
                     done = true;
                   });
    EXPECT_TRUE(RunUntil([&] { return done; }));
    return answer;
  }

  nlohmann::json AskJson(size_t number,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body = "") {
    return nlohmann::json::parse(Ask(number, method, path, body).body, nullptr,
                                 false);
  }

  /// Returns the number of nodes with a lease, as reported by keeper `number`.
  int NodesWithLease(size_t number) {
    int count = 0;
    const nlohmann::json fleet = AskJson(number, "GET", "/fleet");
    for (const auto& node : fleet["nodes"]) {
      count += node.value("lease", false) ? 1 : 0;
    }
    return count;
  }

  /// Returns the index of the leader as reported by keeper `asked`, or -1.
  int LeaderOf(size_t asked) {
    const std::string name =
        AskJson(asked, "GET", "/keepers").value("leader", "");
    return name.empty() ? -1 : std::stoi(name.substr(name.find('-') + 1)) - 1;
  }

  bool manages_membership_ = false;
  // Whether files are active without acknowledgements of nodes.
  bool activates_immediately_ = false;
  std::vector<ZoneName> zones_;                 // that each file names
  std::map<std::string, world::Quota> quotas_;  // of each file
  net::EventLoop loop_;
  TemporaryFolder folder_;
  std::vector<world::Endpoint> endpoints_;
  std::vector<KeeperInstance> keepers_;
};

}  // namespace ibisvalve::control

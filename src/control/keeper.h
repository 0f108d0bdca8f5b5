#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/net.h"
#include "world/world.h"

namespace ibisvalve::control {

/// Settings of a keeper.
struct KeeperSettings {
  NodeId id;
  world::Endpoint control;               // where it listens (TCP)
  std::string data;                      // folder for all files
  std::vector<world::Endpoint> keepers;  // control endpoints of the first set
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election = std::chrono::milliseconds(800);  // shortest time-out

  auto operator<=>(const KeeperSettings&) const = default;
};

/// What checking a file gives.
struct CheckedFile {
  std::string faults;  // a line each; empty: the file is good
  Duration lease = world::ControlRules().lease;  // that it gives to nodes

  auto operator<=>(const CheckedFile&) const = default;
};

/// A keeper: one replica of the log of applied files and claims, with the
/// nodes that follow it.
class Keeper {
 public:
  /// Checks a file before it is accepted.
  using Checker = std::function<CheckedFile(const std::string& text)>;

  /// Recovers the data folder and starts. Throws SystemError, or InvalidInput
  /// when the folder holds what cannot be read.
  Keeper(net::EventLoop& loop, const KeeperSettings& settings, Checker checker);
  ~Keeper();

  /// Adds the operators' pages to `admin`, which must not outlive the keeper's
  /// loop: POST /apply?change=ID&base=N, GET /apply?change=ID, /history,
  /// /show?revision=N, /fleet, /keepers, POST
  /// /keepers/add?id=ID&control=IP:PORT and /keepers/remove?id=ID. Any keeper
  /// answers; it asks the leader.
  void Serve(net::AdminServer& admin);
  /// Returns where it listens.
  world::Endpoint control() const;
  /// Appends what /metrics shows of this part to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::control

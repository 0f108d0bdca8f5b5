#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/base.h"
#include "config/config.h"
#include "control/control.h"
#include "membership/membership.h"
#include "net/net.h"

namespace ibisvalve::node {

/// Platform-specific parsing and editing of configuration files in a keeper.
struct KeeperOptions {
  /// Parses a fleet configuration file. Error messages refer to it as `name`.
  /// Throws InvalidInput.
  std::function<world::Fleet(const std::string& text, const std::string& name)>
      parse = config::ParseFleet;
  /// Applies changes to the active configuration file; may be null.
  control::Keeper::Editor edit;
};

/// A process in the keeper role: one replica of the replicated log and its
/// admin endpoints.
class KeeperProcess {
 public:
  /// Recovers the state in the data directory, binds the listening sockets and
  /// starts the replica. Throws SystemError or InvalidInput.
  KeeperProcess(net::EventLoop& loop,
                const config::Settings& settings,
                const KeeperOptions& options = {});
  KeeperProcess(const KeeperProcess&) = delete;
  KeeperProcess& operator=(const KeeperProcess&) = delete;

  /// Applies a changed settings file. Only the gossip seeds take effect.
  void Reload(const config::Settings& settings);
  /// Starts a planned stop: gives up the keeper's vote as far as the group can
  /// spare it, announces the departure to the gossip peers, then calls `done`.
  /// A second call has no effect.
  void Stop(std::function<void()> done);
  control::Keeper& keeper() { return keeper_; }

 private:
  void ServePages();
  void StartMembership(const config::Settings& settings);
  void UpdateKeepers();

  net::EventLoop& loop_;
  bool stopping_ = false;
  net::AdminServer admin_;
  control::Keeper keeper_;
  // Null if the settings contain no gossip endpoint.
  std::unique_ptr<membership::MembershipService> membership_;
};

}  // namespace ibisvalve::node

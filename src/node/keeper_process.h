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

/// What a keeper needs to speak to operators in their own terms.
struct KeeperOptions {
  /// Reads a fleet's file, called `name` in faults; throws InvalidInput.
  std::function<world::Fleet(const std::string& text, const std::string& name)>
      parse = config::ParseFleet;
  /// Edits changes into the file in force; may be null.
  control::Keeper::Editor edit;
};

/// The process in the keeper role: one replica of the log, with its pages.
class KeeperProcess {
 public:
  /// Recovers the data folder, binds and starts. Throws SystemError or
  /// InvalidInput.
  KeeperProcess(net::EventLoop& loop,
                const config::Settings& settings,
                const KeeperOptions& options = {});
  KeeperProcess(const KeeperProcess&) = delete;
  KeeperProcess& operator=(const KeeperProcess&) = delete;

  /// The settings file has changed: other peers are named from now on.
  void Reload(const config::Settings& settings);
  /// Planned stop: says goodbye, then calls `done`.
  void Stop(std::function<void()> done);
  control::Keeper& keeper() { return keeper_; }

 private:
  void ServePages();
  void StartMembership(const config::Settings& settings);
  void FollowKeepers();

  net::EventLoop& loop_;
  net::AdminServer admin_;
  control::Keeper keeper_;
  // Null where the settings name no gossip endpoint.
  std::unique_ptr<membership::MembershipService> membership_;
};

}  // namespace ibisvalve::node

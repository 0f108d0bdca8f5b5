#pragma once

#include "base/base.h"
#include "config/config.h"
#include "control/control.h"
#include "net/net.h"

namespace ibisvalve::node {

/// The process in the keeper role: one replica of the log, with its pages.
class KeeperProcess {
 public:
  /// Recovers the data folder, binds and starts. Throws SystemError or
  /// InvalidInput.
  KeeperProcess(net::EventLoop& loop, const config::Settings& settings);
  KeeperProcess(const KeeperProcess&) = delete;
  KeeperProcess& operator=(const KeeperProcess&) = delete;

 private:
  void ServePages();

  net::AdminServer admin_;
  control::Keeper keeper_;
};

}  // namespace ibisvalve::node

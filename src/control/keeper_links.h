#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "net/net.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// Maximum payload of a frame between keepers. A snapshot is sent in one frame.
inline constexpr size_t kMaxKeeperPayloadBytes = 256 << 20;

/// Connections from this keeper to the others. A connection that is lost or
/// silent for 2 s is opened again.
class KeeperLinks {
 public:
  struct Handlers {
    /// Returns the hello message of this keeper.
    std::function<wire::KeeperHello()> hello;
    /// Called for each hello of a keeper. Hellos repeat while the link is up.
    std::function<void(const world::Endpoint&, const wire::KeeperHello&)>
        on_hello;
    /// Called for each other frame that is received on a link.
    std::function<void(wire::FrameType, std::string_view payload)> on_frame;
  };

  KeeperLinks(net::EventLoop& loop, Handlers handlers);

  /// Sets the endpoints to keep links to; closes links to all others.
  void SetEndpoints(const std::set<world::Endpoint>& endpoints);
  /// Returns the last hello received from `endpoint`, or null if no link is up.
  const wire::KeeperHello* HelloAt(const world::Endpoint& endpoint) const;
  /// Returns a number that differs for each new link to `endpoint`, or 0 if no
  /// link is up.
  uint64_t LinkNumber(const world::Endpoint& endpoint) const;
  /// Returns the last hello of each keeper with a link that is up, by endpoint.
  std::map<world::Endpoint, wire::KeeperHello> Hellos() const;

  /// Sends `message` to the keeper at `endpoint`. Drops it if no link is up.
  template <typename Message>
  void Send(const world::Endpoint& endpoint, const Message& message) {
    const auto found = links_.find(endpoint);
    if (found != links_.end() && found->second.hello) {
      found->second.link->Send(message);
    }
  }

 private:
  struct Outbound {
    std::unique_ptr<net::FrameLink> link;
    std::optional<wire::KeeperHello> hello;  // set while the link is up
    uint64_t number = 0;
    Time last_received{};
    Time next_connect{};
    bool loss_logged = false;  // whether the loss has been logged
  };

  void Maintain();
  void Connect(const world::Endpoint& endpoint, Outbound& outbound);
  void OnFrame(const world::Endpoint& endpoint,
               wire::FrameType type,
               std::string_view payload);
  void OnLost(const world::Endpoint& endpoint, const std::string& reason);

  net::EventLoop& loop_;
  Handlers handlers_;
  std::map<world::Endpoint, Outbound> links_;
  uint64_t next_number_ = 1;
  net::Timer maintenance_timer_;
};

}  // namespace ibisvalve::control

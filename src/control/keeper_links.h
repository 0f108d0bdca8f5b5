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

/// Longest payload between keepers: a snapshot goes in one frame.
inline constexpr size_t kKeeperPayloadBytes = 256 << 20;

/// Connections from this keeper to the others. Each is opened again when it
/// breaks or goes silent.
class KeeperLinks {
 public:
  struct Handlers {
    /// Returns what this keeper says of itself.
    std::function<wire::KeeperHello()> hello;
    /// A keeper said who it is; again and again while the link stands.
    std::function<void(const world::Endpoint&, const wire::KeeperHello&)>
        on_hello;
    /// Another frame has come on a link to a keeper.
    std::function<void(wire::FrameType, std::string_view payload)> on_frame;
  };

  KeeperLinks(net::EventLoop& loop, Handlers handlers);

  /// Keeps links to exactly `endpoints`.
  void Want(const std::set<world::Endpoint>& endpoints);
  /// Returns who answers at `endpoint` on a link that stands, or null.
  const wire::KeeperHello* HelloAt(const world::Endpoint& endpoint) const;
  /// Returns a number that changes with each new link to `endpoint`; 0 while
  /// there is none.
  uint64_t LinkNumber(const world::Endpoint& endpoint) const;
  /// Returns every keeper that answers, by endpoint.
  std::map<world::Endpoint, wire::KeeperHello> Hellos() const;

  /// Sends to the keeper at `endpoint`; lost when no link stands.
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
    std::optional<wire::KeeperHello> hello;  // set while the link stands
    uint64_t number = 0;
    Time heard{};
    Time next_dial{};
    bool reported = false;  // its loss is in the log already
  };

  void Tend();
  void Dial(const world::Endpoint& endpoint, Outbound& outbound);
  void OnFrame(const world::Endpoint& endpoint,
               wire::FrameType type,
               std::string_view payload);
  void Lost(const world::Endpoint& endpoint, const std::string& why);

  net::EventLoop& loop_;
  Handlers handlers_;
  std::map<world::Endpoint, Outbound> links_;
  uint64_t next_number_ = 1;
  net::Timer tend_;
};

}  // namespace ibisvalve::control

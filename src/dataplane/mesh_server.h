#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dataplane/fleet_view.h"
#include "dataplane/gate.h"
#include "dataplane/node_plane.h"
#include "net/net.h"
#include "policy/policy.h"

namespace ibisvalve::dataplane {

/// Accepts mesh links from the ingresses of other nodes and passes their frames
/// to the gate.
class MeshServer {
 public:
  /// Listens on settings.mesh. All references must outlive the server.
  /// `present_file` returns the active configuration file, for peers that
  /// request it. Throws SystemError.
  MeshServer(net::EventLoop& loop,
             const PlaneSettings& settings,
             const FleetView& view,
             Gate& gate,
             std::function<std::optional<wire::ActiveFile>()> present_file);
  ~MeshServer();

  /// Returns the endpoint that the server listens on.
  world::Endpoint local() const { return listener_.local(); }
  size_t links() const { return links_.size(); }
  /// Sends `notice` to the ingress of every link that has sent its hello.
  void Broadcast(const wire::LoadNotice& notice);

 private:
  struct Link {
    std::unique_ptr<net::FrameLink> frames;
    std::string peer;  // node id from the hello; empty before
    bool hello_received = false;
    Time last_received;
    policy::TransitDelay transit;
  };

  void Accept(int fd);
  void OnFrame(uint64_t number, wire::FrameType type, std::string_view payload);
  void OnHello(Link& link, const wire::MeshHello& hello);
  void OnOpen(uint64_t number, Link& link, wire::OpenAttempt open);
  void OnCrashNotice(Link& link, const wire::CrashNotice& notice);
  void OnClosed(uint64_t number, const std::string& why);
  void CloseSilent();
  ReplyPort ReplyPortFor(uint64_t number);

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  Gate& gate_;
  std::function<std::optional<wire::ActiveFile>()> present_file_;
  std::map<uint64_t, Link> links_;
  uint64_t next_number_ = 0;
  net::Timer silence_timer_;
  net::Listener listener_;
};

}  // namespace ibisvalve::dataplane

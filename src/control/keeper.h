#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/net.h"
#include "world/world.h"

namespace ibisvalve::control {

/// Settings of one keeper.
struct KeeperSettings {
  NodeId id;
  world::Endpoint control;  // endpoint to listen on (TCP)
  std::string data;         // data directory
  // Control endpoints of the initial keepers.
  std::vector<world::Endpoint> keepers;
  // Whether this keeper may found a group if its data directory is empty. Must
  // be false for a keeper that lost its disk, as the group may already exist.
  bool may_found = true;
  // Whether discovered keepers become voters without an operator, also in place
  // of voters that are permanently gone.
  bool manages_membership = false;
  // With `manages_membership`: number n of lost disks to tolerate; the number
  // of voters is never reduced below 2n + 1.
  uint32_t tolerated_disk_losses = 1;
  Duration heartbeat = std::chrono::milliseconds(100);
  std::vector<ZoneName> zones;  // that operators may name besides known nodes'
  // Minimum election timeout.
  Duration election_timeout = std::chrono::milliseconds(800);

  auto operator<=>(const KeeperSettings&) const = default;
};

/// Result of checking a file.
struct CheckedFile {
  std::string findings;  // one per line; empty if the file is valid
  Duration lease = world::ControlRules().lease;  // granted to nodes
  // Whether the file is active as soon as a quorum of the keepers has stored
  // it, without acknowledgements of nodes.
  bool activate_immediately = false;
  std::vector<ZoneName> zones;  // that the file names
  // By workspace; those without a quota are left out.
  std::map<std::string, world::Quota> quotas;

  auto operator<=>(const CheckedFile&) const = default;
};

/// Result of applying a change to the active file.
struct EditedFile {
  enum class Result : uint8_t { kEdited, kBaseMismatch, kInvalid };
  Result result = Result::kInvalid;
  std::string text;    // with kEdited: the complete new file
  std::string detail;  // otherwise: the reason

  auto operator<=>(const EditedFile&) const = default;
};

/// A replica of the log of applied files and claims, which also serves the
/// nodes that follow it.
class Keeper {
 public:
  /// Validates a file before it is accepted.
  using Checker = std::function<CheckedFile(const std::string& text)>;
  /// Applies the change `body` of kind `operation` to `active`, the text of the
  /// active file, which is empty before the first activation.
  using Editor = std::function<EditedFile(const std::string& active,
                                          const std::string& operation,
                                          const std::string& body)>;

  /// Recovers the state from the data directory and starts. Throws SystemError,
  /// or InvalidInput if the directory contains unreadable data.
  Keeper(net::EventLoop& loop,
         const KeeperSettings& settings,
         Checker checker,
         Editor editor = nullptr);
  ~Keeper();

  /// Registers the operator endpoints with `admin`, which must not outlive the
  /// keeper's loop: POST /apply?change=ID&base=N, GET /apply?change=ID,
  /// /history, /show?revision=N, /fleet, /keepers, /zones, POST
  /// /keepers/add?id=ID&control=IP:PORT, /keepers/remove?id=ID,
  /// /zones/evacuate?zone=ZONE and /zones/restore?zone=ZONE. Every keeper
  /// accepts these requests and forwards them to the leader, except GET
  /// /keepers, which it answers itself. An order about a zone or a keeper is
  /// refused with 503, and not carried out, if it was sent before another one
  /// that has been carried out.
  void Serve(net::AdminServer& admin);
  /// Handles one of these requests like the endpoints of Serve. With an editor,
  /// also handles POST /change?operation=KIND, which applies the body to the
  /// active file. A repeated body gets the answer of the first request.
  void HandleRequest(const net::AdminRequest& request,
                     const net::AdminServer::Reply& reply);
  /// Sets the control endpoints of the keepers that run, as far as is known,
  /// and of those that announced their departure.
  void SetDiscoveredKeepers(const std::set<world::Endpoint>& running,
                            const std::set<world::Endpoint>& departed = {});
  /// Gives up the vote of this keeper before its process ends, as far as the
  /// group can spare it. Calls `done` when the process may end, after 3 s at
  /// the latest. Must be called once. The keeper serves on meanwhile.
  void Leave(std::function<void()> done);
  /// Stamps the requests to `server`, which hands them to HandleRequest, so
  /// that delayed orders can be told from new ones. Serve does the same.
  /// `server` must live as long as the loop runs.
  void StampRequests(net::AdminServer& server);
  /// Returns the endpoint that the keeper listens on.
  world::Endpoint control() const;
  /// Appends the metrics of this keeper to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::control

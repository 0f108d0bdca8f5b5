#pragma once

#include <functional>
#include <memory>
#include <set>
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
  // Whether this keeper may found a group if its folder is empty. A keeper that
  // lost its disk must not: the group may be there already.
  bool may_found = true;
  // Whether every keeper that is found becomes a voter without an operator, and
  // takes the place of one that is gone for good.
  bool grows = false;
  uint32_t bears_lost_disks = 1;  // with `grows`: fewer voters are never left
                                  // than this number of losses needs
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election = std::chrono::milliseconds(800);  // shortest time-out

  auto operator<=>(const KeeperSettings&) const = default;
};

/// What checking a file gives.
struct CheckedFile {
  std::string faults;  // a line each; empty: the file is good
  Duration lease = world::ControlRules().lease;  // that it gives to nodes
  bool at_once = false;  // in force once a majority of the keepers has it

  auto operator<=>(const CheckedFile&) const = default;
};

/// What a change makes of the file in force.
struct EditedFile {
  enum class Result : uint8_t { kEdited, kOtherBase, kInvalid };
  Result result = Result::kInvalid;
  std::string text;    // with kEdited: the whole new file
  std::string detail;  // otherwise: why

  auto operator<=>(const EditedFile&) const = default;
};

/// A keeper: one replica of the log of applied files and claims, with the
/// nodes that follow it.
class Keeper {
 public:
  /// Checks a file before it is accepted.
  using Checker = std::function<CheckedFile(const std::string& text)>;
  /// Works out what the change `body` of kind `operation` makes of `present`,
  /// the text in force; empty before the first.
  using Editor = std::function<EditedFile(const std::string& present,
                                          const std::string& operation,
                                          const std::string& body)>;

  /// Recovers the data folder and starts. Throws SystemError, or InvalidInput
  /// when the folder holds what cannot be read.
  Keeper(net::EventLoop& loop,
         const KeeperSettings& settings,
         Checker checker,
         Editor editor = nullptr);
  ~Keeper();

  /// Adds the operators' pages to `admin`, which must not outlive the keeper's
  /// loop: POST /apply?change=ID&base=N, GET /apply?change=ID, /history,
  /// /show?revision=N, /fleet, /keepers, POST
  /// /keepers/add?id=ID&control=IP:PORT and /keepers/remove?id=ID. Any keeper
  /// answers; it asks the leader.
  void Serve(net::AdminServer& admin);
  /// Handles one of these requests as Serve does; and with an editor
  /// POST /change?operation=KIND, whose body is edited into the file in force.
  /// The same body sent again has the answer of the first time.
  void Request(const net::AdminRequest& request,
               const net::AdminServer::Reply& reply);
  /// Keepers that were found listen at `endpoints`.
  void SetFound(const std::set<world::Endpoint>& endpoints);
  /// Returns where it listens.
  world::Endpoint control() const;
  /// Appends what /metrics shows of this part to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::control

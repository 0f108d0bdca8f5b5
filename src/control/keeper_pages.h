#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "control/keeper.h"
#include "control/keeper_links.h"
#include "control/known_index.h"
#include "control/leader_relay.h"
#include "control/member_plan.h"
#include "control/node_coordinator.h"
#include "control/replica_driver.h"
#include "control/zone_pages.h"
#include "net/net.h"

namespace ibisvalve::control {

/// HTTP admin pages of a keeper for operators.
class KeeperPages {
 public:
  /// Receives the answer, or nullopt if the request must be retried, such as
  /// when this keeper does not lead.
  using Done = std::function<void(const std::optional<net::AdminResponse>&)>;
  struct Parts {
    net::EventLoop& loop;
    ReplicaDriver& driver;
    KnownIndex& known;
    KeeperLinks& links;
    LeaderRelay& relay;
    NodeCoordinator& coordinator;
    ZonePages& zones;
  };
  /// Opens a link to a keeper that an operator wants to add.
  using OpenLink = std::function<void(const world::Endpoint&)>;

  KeeperPages(const Parts& parts,
              Keeper::Checker checker,
              Keeper::Editor editor,
              OpenLink open_link);

  /// Registers the pages with `admin`.
  void Serve(net::AdminServer& admin);
  /// Routes a request to the leader; `reply` receives the leader's answer.
  void HandleRequest(const net::AdminRequest& request,
                     const net::AdminServer::Reply& reply) {
    Route(request, reply);
  }
  /// Handles a request that another keeper forwarded.
  void OnForward(const wire::ForwardRequest& request,
                 std::function<void(const wire::ForwardReply&)> reply);
  /// Handles the leader's answer to a forwarded request.
  void OnForwardReply(const wire::ForwardReply& reply);

 private:
  void Route(const net::AdminRequest& request,
             const net::AdminServer::Reply& reply);
  void HandleLocal(const net::AdminRequest& request, Done done);
  void Apply(const net::AdminRequest& request, Done done);
  void Change(const net::AdminRequest& request, Done done);
  void DecideChange(const net::AdminRequest& request, Done done);
  void Propose(const StageConfig& stage, Done done);
  void AnswerInForce(const ChangeAnswer& answer, Done done);
  void AnswerAfterRead(const Done& done,
                       std::function<net::AdminResponse()> answer);
  net::AdminResponse Show(const net::AdminRequest& request) const;
  net::AdminResponse History() const;
  net::AdminResponse FleetPage() const;
  net::AdminResponse KeepersPage() const;
  bool IsSuperseded(const net::AdminRequest& request, const Done& done) const;
  void AddKeeper(const net::AdminRequest& request, const Done& done);
  void RemoveKeeper(const net::AdminRequest& request, const Done& done);
  void ProposeMembers(const wire::KeeperMembers& members, const Done& done);

  Parts parts_;
  Keeper::Checker checker_;
  Keeper::Editor editor_;  // may be null
  OpenLink open_link_;
  std::map<uint64_t, net::AdminServer::Reply> forwarded_;  // by call number
};

}  // namespace ibisvalve::control

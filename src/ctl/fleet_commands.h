#pragma once

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// `status`: prints the state of every node as known to the keepers, or the
/// status of a single node if the admin address belongs to a node.
ExitCode RunStatus(Session& session);
/// `members`: lists all nodes as known to one node.
ExitCode RunMembers(Session& session);
/// `targets`: lists all targets as known to one node.
ExitCode RunTargets(Session& session);
/// `keepers [add ID IP:PORT | remove ID]`: prints the roles and log positions
/// of the keepers, or adds or removes a keeper.
ExitCode RunKeepers(Session& session);

/// `evacuate ZONE`: sends no more requests to the targets of a zone.
ExitCode RunEvacuate(Session& session);
/// `restore ZONE`: takes the evacuation of a zone back.
ExitCode RunRestore(Session& session);

/// Returns the JSON entries of all nodes from the page /members of a node, or
/// from /fleet of a keeper. Throws CommandError if neither page is served.
std::vector<nlohmann::json> FetchNodes(Session& session);

/// Returns the admin endpoints of all known nodes that have neither left nor
/// died. Throws CommandError if the nodes cannot be listed.
std::vector<world::Endpoint> NodeAdminEndpoints(Session& session);

}  // namespace ibisvalve::ctl

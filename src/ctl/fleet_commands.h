#pragma once

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// `status`: what each host is doing, as the keepers know it; or one node's
/// own status where only a node can be asked.
ExitCode RunStatus(Session& session);
/// `members`: every node, as one node knows them.
ExitCode RunMembers(Session& session);
/// `targets`: every target, as one node knows them.
ExitCode RunTargets(Session& session);
/// `keepers [add ID IP:PORT | remove ID]`: the keepers' roles and logs, or a
/// change of their set.
ExitCode RunKeepers(Session& session);

/// Returns the nodes that a node or a keeper knows, as its page lists them.
/// Throws CommandError when none answers.
std::vector<nlohmann::json> KnownNodes(Session& session);

/// Returns the admin endpoints of the nodes that are not gone. Throws
/// CommandError when nobody answers.
std::vector<world::Endpoint> NodeAdmins(Session& session);

}  // namespace ibisvalve::ctl

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dataplane/header_names.h"
#include "policy/policy.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// Header with which a caller presents the key of its workspace, as "Token
/// KEY".
inline constexpr char kCredentialHeader[] = "Authorization";

/// Who sent a request.
struct CallerIdentity {
  // Null without a valid key. Owned by the fleet.
  const world::Workspace* workspace = nullptr;
  // Whether the request may be served: its route is public, or it has a key.
  bool accepted = false;

  bool operator==(const CallerIdentity&) const = default;
};

/// Identifies the caller of a request with these headers. Several credentials
/// count as none. Without workspaces every caller is accepted.
CallerIdentity IdentifyCaller(const wire::Headers& headers,
                              const policy::WorkspaceKeys& keys,
                              bool is_public);

/// Removes what a target must not see from the headers of a request: the key
/// of the workspace, and a name of a workspace that the caller chose itself.
void RemoveCredentials(wire::Headers& headers, const HeaderNames& names);

/// Regions whose targets may be used; nullopt: all.
using AllowedRegions = std::optional<std::vector<RegionName>>;

/// Returns the regions that both `route` and `workspace` allow, either of which
/// may be null.
AllowedRegions RegionsFor(const world::Route* route,
                          const world::Workspace* workspace);

/// Returns whether targets in `region` may be used.
bool Allows(const AllowedRegions& allowed, const RegionName& region);

}  // namespace ibisvalve::dataplane

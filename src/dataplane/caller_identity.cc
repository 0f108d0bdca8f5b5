#include "dataplane/caller_identity.h"

#include <algorithm>
#include <string_view>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

constexpr std::string_view kScheme = "Token";

// Returns the key in the only credential among `headers`; empty: none.
std::string_view KeyOf(const wire::Headers& headers) {
  const std::string* credential = nullptr;
  for (const auto& [name, value] : headers) {
    if (!HeaderNamesEqual(name, kCredentialHeader)) {
      continue;
    }
    if (credential != nullptr) {
      return {};
    }
    credential = &value;
  }
  if (credential == nullptr || credential->size() <= kScheme.size()) {
    return {};
  }
  std::string_view key = *credential;
  if (!HeaderNamesEqual(key.substr(0, kScheme.size()), kScheme)) {
    return {};
  }
  key.remove_prefix(kScheme.size());
  const size_t start = key.find_first_not_of(' ');
  return start == 0 || start == std::string_view::npos ? std::string_view()
                                                       : key.substr(start);
}

}  // namespace

CallerIdentity IdentifyCaller(const wire::Headers& headers,
                              const policy::WorkspaceKeys& keys,
                              bool is_public) {
  if (!keys.required()) {
    return {nullptr, true};
  }
  const std::string_view key = KeyOf(headers);
  const world::Workspace* workspace = key.empty() ? nullptr : keys.Find(key);
  return {workspace, is_public || workspace != nullptr};
}

void RemoveCredentials(wire::Headers& headers, const HeaderNames& names) {
  std::erase_if(headers, [&](const auto& header) {
    return HeaderNamesEqual(header.first, kCredentialHeader) ||
           HeaderNamesEqual(header.first, names.workspace);
  });
}

AllowedRegions RegionsFor(const world::Route* route,
                          const world::Workspace* workspace) {
  AllowedRegions allowed = route == nullptr ? std::nullopt : route->regions;
  if (workspace == nullptr || !workspace->regions) {
    return allowed;
  }
  if (!allowed) {
    return workspace->regions;
  }
  std::erase_if(*allowed, [&](const RegionName& region) {
    return std::find(workspace->regions->begin(), workspace->regions->end(),
                     region) == workspace->regions->end();
  });
  return allowed;
}

bool Allows(const AllowedRegions& allowed, const RegionName& region) {
  return !allowed ||
         std::find(allowed->begin(), allowed->end(), region) != allowed->end();
}

}  // namespace ibisvalve::dataplane

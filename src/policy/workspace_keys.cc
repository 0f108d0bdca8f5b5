#include "policy/workspace_keys.h"

#include <utility>

namespace ibisvalve::policy {
namespace {

// Compares in a time that depends on the length of `presented` only.
bool EqualInConstantTime(std::string_view presented, std::string_view known) {
  unsigned difference = presented.size() == known.size() ? 0 : 1;
  for (size_t i = 0; i < presented.size(); ++i) {
    const char other = known.empty() ? '\0' : known[i % known.size()];
    difference |= static_cast<unsigned char>(presented[i]) ^
                  static_cast<unsigned char>(other);
  }
  return difference == 0;
}

}  // namespace

WorkspaceKeys::WorkspaceKeys(std::shared_ptr<const world::Fleet> fleet,
                             uint64_t seed)
    : fleet_(std::move(fleet)), seed_(std::to_string(seed) + '\n') {
  if (!fleet_->workspaces) {
    return;
  }
  for (const world::Workspace& workspace : *fleet_->workspaces) {
    for (const std::string& key : workspace.keys) {
      by_digest_.emplace(DigestOfKey(key), Entry{&workspace, &key});
    }
  }
}

const world::Workspace* WorkspaceKeys::Find(std::string_view key) const {
  const auto found = by_digest_.find(DigestOfKey(key));
  const bool listed = found != by_digest_.end();
  const bool equal = EqualInConstantTime(
      key, listed ? std::string_view(*found->second.key) : std::string_view());
  return listed && equal ? found->second.workspace : nullptr;
}

Digest WorkspaceKeys::DigestOfKey(std::string_view key) const {
  return DigestOf(seed_ + std::string(key));
}

}  // namespace ibisvalve::policy

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Index of the keys of a fleet's workspaces.
///
/// A look-up takes the same time whether or not the key exists, so that callers
/// cannot find out keys by timing: keys are indexed by digests with a secret
/// seed, and the whole presented key is compared once in any case.
class WorkspaceKeys {
 public:
  /// Indexes the keys of `fleet`, which is kept alive. `seed` must be secret.
  WorkspaceKeys(std::shared_ptr<const world::Fleet> fleet, uint64_t seed);

  /// Returns the workspace that holds `key`, or null. The pointer is valid as
  /// long as this object.
  const world::Workspace* Find(std::string_view key) const;
  /// Returns whether requests need a key.
  bool required() const { return fleet_->workspaces.has_value(); }

 private:
  struct Entry {
    const world::Workspace* workspace = nullptr;
    const std::string* key = nullptr;
  };

  Digest DigestOfKey(std::string_view key) const;

  std::shared_ptr<const world::Fleet> fleet_;
  std::string seed_;
  std::unordered_map<Digest, Entry> by_digest_;
};

}  // namespace ibisvalve::policy

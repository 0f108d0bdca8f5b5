#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::control {

/// Command that adds what a node knows of crashes of targets.
struct AddCrashes {
  std::vector<world::CrashRecord> records;
  uint64_t at_us = 0;  // wall clock to which the ages in `records` refer

  auto operator<=>(const AddCrashes&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(records, at_us);
  }
};

/// Replicated memory of the requests that crash targets, for nodes that all
/// start at once and so have no peer to learn from. Deterministic: replicas
/// that apply the same commands hold the same records.
class CrashLedger {
 public:
  /// Adds the records. Crashes that are cleared stay cleared. Drops those that
  /// are too old, and the resources whose last crash is the oldest if there are
  /// too many.
  void Apply(const AddCrashes& add);
  /// Returns whether Apply would add anything that is not known.
  bool HasNews(const AddCrashes& add) const;
  /// Returns the records that have not expired, with their ages at `now_us`
  /// (wall clock).
  std::vector<world::CrashRecord> Records(uint64_t now_us) const;
  /// Returns a number that differs after each change. Not replicated.
  uint64_t version() const { return version_; }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(resources_);
  }
  template <typename Archive>
  void load(Archive& archive) {
    archive(resources_);
    ++version_;
  }

 private:
  struct Crash {
    uint64_t at_us = 0;  // wall clock
    bool cleared = false;
    bool resource_cleared = false;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(at_us, cleared, resource_cleared);
    }
  };
  using Key = std::pair<world::CrashId, Digest>;  // the crash and the request
  using Resource = std::map<Key, Crash>;

  static uint64_t LastCrash(const Resource& resource);
  void Trim(uint64_t now_us);

  std::map<Digest, Resource> resources_;
  uint64_t version_ = 0;
};

}  // namespace ibisvalve::control

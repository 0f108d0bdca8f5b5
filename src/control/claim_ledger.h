#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/wire.h"

namespace ibisvalve::control {

/// Asks for a key. `clock_us` is the clock of the log, which only grows.
struct ClaimKey {
  wire::RequestKey key;
  Digest body;
  wire::ClaimHolder holder;
  uint64_t retention_us = 0;
  uint64_t clock_us = 0;

  auto operator<=>(const ClaimKey&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, body, holder, retention_us, clock_us);
  }
};

/// Ends a claim; see wire::ClaimSettle.
struct SettleKey {
  wire::RequestKey key;
  wire::ClaimHolder holder;
  uint16_t status = 0;
  uint64_t clock_us = 0;

  auto operator<=>(const SettleKey&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, holder, status, clock_us);
  }
};

/// The replicated state of claimed keys. A key has one holder until it releases
/// the key or the retention has passed by the clock of the log. Deterministic.
class ClaimLedger {
 public:
  ClaimLedger() = default;
  ClaimLedger(const ClaimLedger&) = delete;  // expiry_ points into records_
  ClaimLedger& operator=(const ClaimLedger&) = delete;
  ClaimLedger(ClaimLedger&&) = default;
  ClaimLedger& operator=(ClaimLedger&&) = default;

  /// Grants the key if it is free. The same holder gets the same answer again.
  wire::ClaimReply Apply(const ClaimKey& claim);
  /// Releases the key (status 0) or records the status of its run; nothing
  /// unless by the holder.
  void Apply(const SettleKey& settle);
  /// Returns how many keys are held.
  size_t size() const { return records_.size(); }
  /// Returns the clock of the log.
  uint64_t clock_us() const { return clock_us_; }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(clock_us_, static_cast<uint64_t>(records_.size()));
    for (const auto& [key, record] : records_) {
      archive(key, record);
    }
  }
  template <typename Archive>
  void load(Archive& archive) {
    uint64_t count = 0;
    archive(clock_us_, count);
    records_.clear();
    expiry_.clear();
    for (uint64_t i = 0; i < count; ++i) {
      wire::RequestKey key;
      Record record;
      archive(key, record);
      Put(key, record);
    }
  }

 private:
  struct KeyHash {
    size_t operator()(const wire::RequestKey& key) const;
  };
  struct Record {
    Digest body;
    wire::ClaimHolder holder;
    uint16_t status = 0;
    bool released = false;  // kept a while against a late claim of its holder
    uint64_t expires_us = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(body, holder, status, released, expires_us);
    }
  };

  void Advance(uint64_t clock_us);
  void Put(const wire::RequestKey& key, const Record& record);
  void Erase(const wire::RequestKey& key);

  std::unordered_map<wire::RequestKey, Record, KeyHash> records_;
  std::multimap<uint64_t, const wire::RequestKey*> expiry_;  // into records_
  uint64_t clock_us_ = 0;
};

}  // namespace ibisvalve::control

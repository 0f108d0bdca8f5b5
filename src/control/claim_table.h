#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/wire.h"

namespace ibisvalve::control {

/// Command that claims an idempotency key for `holder`. `clock_us` is the log
/// clock in microseconds; it never decreases.
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

/// Command that ends a claim; see wire::ClaimSettle.
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

/// Replicated table of claimed idempotency keys. A key has one holder until the
/// holder releases it or the retention period ends according to the log clock.
/// Deterministic: the same commands give the same state on every replica.
class ClaimTable {
 public:
  ClaimTable() = default;
  // Not copyable: expiry_ holds pointers into records_.
  ClaimTable(const ClaimTable&) = delete;
  ClaimTable& operator=(const ClaimTable&) = delete;
  ClaimTable(ClaimTable&&) = default;
  ClaimTable& operator=(ClaimTable&&) = default;

  /// Grants the key if it is free. A repeated claim by the same holder gets the
  /// same reply.
  wire::ClaimReply Apply(const ClaimKey& claim);
  /// Releases the key (status 0) or records the HTTP status of its run. Has no
  /// effect if another holder holds the key; a status is recorded only while
  /// the key is held.
  void Apply(const SettleKey& settle);
  /// Returns the number of keys in the table, including released keys that are
  /// still remembered.
  size_t size() const { return records_.size(); }
  /// Returns the log clock in microseconds.
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
      Insert(key, record);
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
    // A released key stays in the table for a while, so that a claim that
    // arrives after its own release is not granted.
    bool released = false;
    uint64_t expires_us = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(body, holder, status, released, expires_us);
    }
  };

  void AdvanceClock(uint64_t clock_us);
  void Insert(const wire::RequestKey& key, const Record& record);
  void Erase(const wire::RequestKey& key);

  std::unordered_map<wire::RequestKey, Record, KeyHash> records_;
  std::multimap<uint64_t, const wire::RequestKey*> expiry_;  // keys of records_
  uint64_t clock_us_ = 0;
};

}  // namespace ibisvalve::control

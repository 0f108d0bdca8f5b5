#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "control/claim_table.h"
#include "control/config_history.h"
#include "control/crash_ledger.h"
#include "control/departure_ledger.h"
#include "control/zone_orders.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// Contents of a log entry of kind kCommand.
using Command = std::variant<StageConfig,
                             ActivateConfig,
                             WithdrawConfig,
                             ClaimKey,
                             SettleKey,
                             AddCrashes,
                             OrderZone,
                             AddDeparture>;

/// Result of applying a command, which is returned to its proposer.
using CommandResult = std::
    variant<std::monostate, ChangeAnswer, wire::ClaimReply, ZoneOrderResult>;

/// The state that the keepers replicate. Deterministic: replicas that apply the
/// same log entries hold the same state.
class StateMachine {
 public:
  /// Applies the next log entry, which may be of any kind.
  CommandResult Apply(const wire::LogEntry& entry);
  /// Returns the serialized state.
  std::string Save() const;
  /// Replaces the state by the one serialized in `bytes`. Throws WireError if
  /// they cannot be decoded.
  void Load(const std::string& bytes);

  /// Returns the index of the last applied entry.
  uint64_t applied() const { return applied_; }
  const ConfigHistory& config() const { return config_; }
  const ClaimTable& claims() const { return claims_; }
  const CrashLedger& crashes() const { return crashes_; }
  const ZoneOrders& zones() const { return zones_; }
  const DepartureLedger& departures() const { return departures_; }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(applied_, config_, claims_, crashes_, zones_, departures_);
  }
  template <typename Archive>
  void load(Archive& archive) {
    archive(applied_, config_, claims_);
    // Snapshots of earlier releases end here or after one of the parts below.
    if (archive.remaining_bytes() > 0) {
      archive(crashes_);
    }
    if (archive.remaining_bytes() > 0) {
      archive(zones_);
    }
    if (archive.remaining_bytes() > 0) {
      archive(departures_);
    }
  }

 private:
  uint64_t applied_ = 0;
  ConfigHistory config_;
  ClaimTable claims_;
  CrashLedger crashes_;
  ZoneOrders zones_;
  DepartureLedger departures_;
};

}  // namespace ibisvalve::control

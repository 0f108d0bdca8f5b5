#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "control/claim_ledger.h"
#include "control/config_ledger.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// What an entry of kind kCommand holds.
using Command = std::
    variant<StageConfig, ActivateConfig, WithdrawConfig, ClaimKey, SettleKey>;

/// What applying a command gives to whoever proposed it.
using CommandResult =
    std::variant<std::monostate, ChangeAnswer, wire::ClaimReply>;

/// Everything that the keepers replicate. Deterministic.
class StateMachine {
 public:
  /// Applies the next entry of the log, of any kind.
  CommandResult Apply(const wire::LogEntry& entry);
  /// Returns the whole state as bytes.
  std::string Save() const;
  /// Replaces the whole state; throws WireError when `bytes` hold none.
  void Load(const std::string& bytes);

  /// Returns the index of the last entry applied.
  uint64_t applied() const { return applied_; }
  const ConfigLedger& config() const { return config_; }
  const ClaimLedger& claims() const { return claims_; }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(applied_, config_, claims_);
  }

 private:
  uint64_t applied_ = 0;
  ConfigLedger config_;
  ClaimLedger claims_;
};

}  // namespace ibisvalve::control

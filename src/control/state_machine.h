#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "control/claim_table.h"
#include "control/config_history.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// Contents of a log entry of kind kCommand.
using Command = std::
    variant<StageConfig, ActivateConfig, WithdrawConfig, ClaimKey, SettleKey>;

/// Result of applying a command, which is returned to its proposer.
using CommandResult =
    std::variant<std::monostate, ChangeAnswer, wire::ClaimReply>;

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

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(applied_, config_, claims_);
  }

 private:
  uint64_t applied_ = 0;
  ConfigHistory config_;
  ClaimTable claims_;
};

}  // namespace ibisvalve::control

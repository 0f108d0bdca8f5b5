#include "control/state_machine.h"

#include <glog/logging.h>

#include <type_traits>

namespace ibisvalve::control {

CommandResult StateMachine::Apply(const wire::LogEntry& entry) {
  CHECK_EQ(entry.index, applied_ + 1) << "log entries must be applied in order";
  applied_ = entry.index;
  if (entry.kind != wire::EntryKind::kCommand) {
    return std::monostate();
  }
  return std::visit(
      [&](const auto& command) -> CommandResult {
        using CommandType = std::decay_t<decltype(command)>;
        if constexpr (std::is_same_v<CommandType, StageConfig>) {
          return config_.Apply(command);
        } else if constexpr (std::is_same_v<CommandType, ClaimKey>) {
          return claims_.Apply(command);
        } else if constexpr (std::is_same_v<CommandType, SettleKey>) {
          claims_.Apply(command);
          return std::monostate();
        } else if constexpr (std::is_same_v<CommandType, AddCrashes>) {
          crashes_.Apply(command);
          return std::monostate();
        } else if constexpr (std::is_same_v<CommandType, AddDeparture>) {
          departures_.Apply(command);
          return std::monostate();
        } else if constexpr (std::is_same_v<CommandType, OrderZone>) {
          return zones_.Apply(command, entry.index);
        } else {
          config_.Apply(command);
          return std::monostate();
        }
      },
      wire::Decode<Command>(entry.data));
}

std::string StateMachine::Save() const {
  std::string bytes;
  wire::OutArchive archive(bytes);
  archive(*this);
  return bytes;
}

void StateMachine::Load(const std::string& bytes) {
  *this = wire::Decode<StateMachine>(bytes);
}

}  // namespace ibisvalve::control

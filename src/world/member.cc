#include "world/member.h"

namespace ibisvalve::world {

std::string ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kUnreachable:
      return "unreachable";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "invalid";
}

std::string ToString(TargetState state) {
  switch (state) {
    case TargetState::kNone:
      return "none";
    case TargetState::kStarting:
      return "starting";
    case TargetState::kReady:
      return "ready";
    case TargetState::kDraining:
      return "draining";
    case TargetState::kDown:
      return "down";
  }
  return "invalid";
}

bool IsRunning(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

bool IsLiveKeeper(const Member& member) {
  return !member.control.ip.empty() && IsRunning(member);
}

bool TargetOutlived(const Member& member, Incarnation ended) {
  const bool left =
      member.state == MemberState::kLeft && member.incarnation == ended;
  return left || Outlived(member.hosted, ended);
}

bool IsServing(const Member& member) {
  return IsRunning(member) && member.target == TargetState::kReady;
}

}  // namespace ibisvalve::world

#include "wire/gossip_messages.h"

#include <algorithm>
#include <limits>

namespace ibisvalve::wire {
namespace {

constexpr size_t kLengthBytes = 4;  // length prefix of a string or vector
constexpr size_t kMaxNames = std::numeric_limits<uint8_t>::max();

world::MemberState CheckedState(world::MemberState state) {
  if (state > world::MemberState::kLeft) {
    throw WireError("member has an invalid state");
  }
  return state;
}

world::TargetState CheckedTargetState(world::TargetState target) {
  if (target > world::TargetState::kDown) {
    throw WireError("member has an invalid target state");
  }
  return target;
}

}  // namespace

bool MemberBatch::Add(const world::Member& member, size_t max_bytes) {
  const size_t old_names = names_.size();
  const PackedMember packed{
      member.id,
      member.incarnation,
      member.version,
      NameIndex(member.location.region.value),
      NameIndex(member.location.zone.value),
      NameIndex(member.gossip.ip),
      NameIndex(member.mesh.ip),
      NameIndex(member.admin.ip),
      NameIndex(member.control.ip),
      NameIndex(member.service.value),
      member.gossip.port,
      member.mesh.port,
      member.admin.port,
      member.control.port,
      member.state,
      member.target,
      member.slots,
      member.departed.runs(),
      member.hosted,
  };
  size_t bytes = bytes_ + Encode(packed).size();
  for (size_t i = old_names; i < names_.size(); ++i) {
    bytes += kLengthBytes + names_[i].size();
  }
  if (bytes > max_bytes || names_.size() > kMaxNames) {
    names_.resize(old_names);
    return false;
  }
  members_.push_back(packed);
  bytes_ = bytes;
  return true;
}

std::vector<world::Member> MemberBatch::Unpack() const {
  std::vector<world::Member> members;
  members.reserve(members_.size());
  for (const PackedMember& packed : members_) {
    world::Member member;
    member.id = packed.id;
    member.incarnation = packed.incarnation;
    member.version = packed.version;
    member.location = {RegionName(NameAt(packed.region_name)),
                       ZoneName(NameAt(packed.zone_name))};
    member.gossip = {NameAt(packed.gossip_name), packed.gossip_port};
    member.mesh = {NameAt(packed.mesh_name), packed.mesh_port};
    member.admin = {NameAt(packed.admin_name), packed.admin_port};
    member.control = {NameAt(packed.control_name), packed.control_port};
    member.state = CheckedState(packed.state);
    member.service = ServiceName(NameAt(packed.service_name));
    member.target = CheckedTargetState(packed.target);
    member.slots = packed.slots;
    for (const world::TargetRun& run : packed.departed) {
      member.departed = member.departed.With(run);
    }
    member.hosted = packed.hosted;
    members.push_back(std::move(member));
  }
  return members;
}

uint8_t MemberBatch::NameIndex(const std::string& name) {
  const auto found = std::find(names_.begin(), names_.end(), name);
  const auto index = static_cast<size_t>(found - names_.begin());
  if (found == names_.end()) {
    names_.push_back(name);
  }
  return static_cast<uint8_t>(std::min(index, kMaxNames));
}

const std::string& MemberBatch::NameAt(uint8_t index) const {
  if (index >= names_.size()) {
    throw WireError("member has a name index out of range");
  }
  return names_[index];
}

}  // namespace ibisvalve::wire

#pragma once

#include <string>
#include <vector>

#include "wire/archive.h"
#include "wire/frame.h"
#include "world/world.h"

namespace ibisvalve::wire {

/// A member in a MemberBatch. The `*_name` fields are indices into the batch's
/// name table.
struct PackedMember {
  NodeId id;
  Incarnation incarnation;
  uint32_t version = 0;
  uint8_t region_name = 0;
  uint8_t zone_name = 0;
  uint8_t gossip_name = 0;
  uint8_t mesh_name = 0;
  uint8_t admin_name = 0;
  uint8_t control_name = 0;
  uint8_t service_name = 0;
  uint16_t gossip_port = 0;
  uint16_t mesh_port = 0;
  uint16_t admin_port = 0;
  uint16_t control_port = 0;
  world::MemberState state = world::MemberState::kAlive;
  world::TargetState target = world::TargetState::kNone;
  uint32_t slots = 0;
  std::vector<world::TargetRun> departed;
  world::HostedRun hosted;

  auto operator<=>(const PackedMember&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, version, region_name, zone_name, gossip_name,
            mesh_name, admin_name, control_name, service_name, gossip_port,
            mesh_port, admin_port, control_port, state, target, slots, departed,
            hosted);
  }
};

/// Compact encoding of a list of members: names used by several members are
/// stored once, in a table.
class MemberBatch {
 public:
  auto operator<=>(const MemberBatch&) const = default;

  /// Adds `member` if the encoded batch would not exceed `max_bytes`. Returns
  /// whether it was added.
  bool Add(const world::Member& member, size_t max_bytes);
  /// Returns the members. Throws WireError if the batch is invalid.
  std::vector<world::Member> Unpack() const;
  /// Returns the encoded size in bytes of a batch that was built with Add().
  size_t bytes() const { return bytes_; }
  bool empty() const { return members_.empty(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(names_, members_);
  }

 private:
  uint8_t NameIndex(const std::string& name);
  const std::string& NameAt(uint8_t index) const;

  std::vector<std::string> names_;
  std::vector<PackedMember> members_;
  size_t bytes_ = 8;  // encoded size; starts with two length prefixes
};

/// Sender information in every gossip message.
struct GossipSender {
  NodeId id;
  Incarnation incarnation;
  uint32_t members = 0;  // alive or suspect members in the sender's table
  Digest table;          // digest of these members

  auto operator<=>(const GossipSender&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, members, table);
  }
};

/// Probes a node, which replies with a GossipAck with the same number.
struct GossipPing {
  static constexpr FrameType kType = 128;
  GossipSender sender;
  uint64_t number = 0;
  MemberBatch updates;

  auto operator<=>(const GossipPing&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, number, updates);
  }
};

/// Reply to GossipPing, and to GossipPingRequest after `target` has replied.
struct GossipAck {
  static constexpr FrameType kType = 129;
  GossipSender sender;
  uint64_t number = 0;
  NodeId subject;  // node that was pinged
  MemberBatch updates;

  auto operator<=>(const GossipAck&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, number, subject, updates);
  }
};

/// Indirect probe: asks the receiver to ping `target` and to forward the reply.
struct GossipPingRequest {
  static constexpr FrameType kType = 130;
  GossipSender sender;
  uint64_t number = 0;
  world::Endpoint target;
  MemberBatch updates;

  auto operator<=>(const GossipPingRequest&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, number, target, updates);
  }
};

/// Requests the members of each bucket whose digest differs from `buckets`,
/// which holds consecutive digests from bucket `start` on. Requests all members
/// if `buckets` is empty.
struct GossipSync {
  static constexpr FrameType kType = 131;
  GossipSender sender;
  uint16_t start = 0;
  std::vector<uint32_t> buckets;

  auto operator<=>(const GossipSync&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, start, buckets);
  }
};

/// Sends members of some buckets. The receiver replies with its own members of
/// the buckets in `wanted`.
struct GossipMembers {
  static constexpr FrameType kType = 132;
  GossipSender sender;
  std::vector<uint16_t> wanted;
  MemberBatch members;

  auto operator<=>(const GossipMembers&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, wanted, members);
  }
};

}  // namespace ibisvalve::wire

#pragma once

#include <string>
#include <vector>

#include "wire/archive.h"
#include "wire/frame.h"
#include "world/world.h"

namespace ibisvalve::wire {

/// One member of a MemberBatch; `*_name` are places in the batch's names.
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

  auto operator<=>(const PackedMember&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, version, region_name, zone_name, gossip_name,
            mesh_name, admin_name, control_name, service_name, gossip_port,
            mesh_port, admin_port, control_port, state, target, slots);
  }
};

/// Members in little room: a name that several share is written once.
class MemberBatch {
 public:
  auto operator<=>(const MemberBatch&) const = default;

  /// Adds `member` if the encoded batch stays within `max_bytes`; returns
  /// whether it did.
  bool Add(const world::Member& member, size_t max_bytes);
  /// Returns the members; throws WireError on a batch that is not valid.
  std::vector<world::Member> Unpack() const;
  /// Returns how many bytes the batch takes when encoded.
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
  size_t bytes_ = 8;  // of the two lengths
};

/// What every gossip message says of its sender.
struct GossipSender {
  NodeId id;
  Incarnation incarnation;
  uint32_t members = 0;  // alive or suspect in the sender's table
  Digest table;          // of these members

  auto operator<=>(const GossipSender&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, members, table);
  }
};

/// Asks for a GossipAck with the same number.
struct GossipPing {
  static constexpr FrameType kType = 128;
  GossipSender sender;
  uint64_t number = 0;
  MemberBatch news;

  auto operator<=>(const GossipPing&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, number, news);
  }
};

/// Answers GossipPing, and GossipPingRequest once the target has answered.
struct GossipAck {
  static constexpr FrameType kType = 129;
  GossipSender sender;
  uint64_t number = 0;
  NodeId subject;  // who was pinged
  MemberBatch news;

  auto operator<=>(const GossipAck&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, number, subject, news);
  }
};

/// Asks the receiver to ping `target` and to pass the answer on.
struct GossipPingRequest {
  static constexpr FrameType kType = 130;
  GossipSender sender;
  uint64_t number = 0;
  world::Endpoint target;
  MemberBatch news;

  auto operator<=>(const GossipPingRequest&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, number, target, news);
  }
};

/// Asks for the members of every bucket whose digest differs from these, from
/// bucket `start` on; with no digests, for all members.
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

/// Members of some buckets. The receiver sends back its own members of the
/// buckets in `wanted`.
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

#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "wire/archive.h"
#include "wire/claim_messages.h"
#include "wire/frame.h"
#include "world/world.h"

namespace ibisvalve::wire {

/// Identity of one replica of the keepers' log: as old as its data folder, so
/// a keeper that lost its disk comes back under another.
using ReplicaId = NumberId<struct ReplicaIdTag>;
/// Identity of one group of keepers, given when it is founded.
using GroupId = NumberId<struct GroupIdTag>;

/// What an entry of the replicated log is for.
enum class EntryKind : uint8_t {
  kNoop,     // the first entry of each leader
  kCommand,  // for the state machine
  kMembers,  // KeeperMembers, in force as soon as it is appended
};

/// One entry of the replicated log.
struct LogEntry {
  uint64_t index = 0;  // counts from 1
  uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;

  auto operator<=>(const LogEntry&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(index, term, kind, data);
  }
};

/// One member of a group of keepers.
struct KeeperMember {
  ReplicaId replica;
  NodeId id;
  world::Endpoint control;
  bool voter = false;  // otherwise a learner

  auto operator<=>(const KeeperMember&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(replica, id, control, voter);
  }
};

/// All members of a group of keepers.
struct KeeperMembers {
  GroupId group;
  std::vector<KeeperMember> members;

  auto operator<=>(const KeeperMembers&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, members);
  }
};

/// Asks for a vote, or with `pre` whether one would be given.
struct VoteRequest {
  static constexpr FrameType kType = 64;
  ReplicaId from;
  ReplicaId to;
  uint64_t term = 0;
  uint64_t last_index = 0;
  uint64_t last_term = 0;
  bool pre = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, term, last_index, last_term, pre);
  }
};

/// Answer to VoteRequest. A granted pre-vote carries the term asked for.
struct VoteReply {
  static constexpr FrameType kType = 65;
  ReplicaId from;
  ReplicaId to;
  uint64_t term = 0;
  bool granted = false;
  bool pre = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, term, granted, pre);
  }
};

/// Entries from the leader; without entries a heartbeat.
struct AppendRequest {
  static constexpr FrameType kType = 66;
  ReplicaId from;
  ReplicaId to;
  uint64_t term = 0;
  uint64_t prev_index = 0;  // of the entry before the first
  uint64_t prev_term = 0;
  uint64_t commit = 0;
  uint64_t round = 0;  // echoed; confirms reads
  std::vector<LogEntry> entries;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, term, prev_index, prev_term, commit, round, entries);
  }
};

/// Answer to AppendRequest and InstallSnapshot, sent once all is on disk.
struct AppendReply {
  static constexpr FrameType kType = 67;
  ReplicaId from;
  ReplicaId to;
  uint64_t term = 0;
  bool accepted = false;
  uint64_t match = 0;  // last entry known to match; refused: where to try
  uint64_t round = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, term, accepted, match, round);
  }
};

/// The whole state up to an entry, for a replica that is too far behind.
struct InstallSnapshot {
  static constexpr FrameType kType = 68;
  ReplicaId from;
  ReplicaId to;
  uint64_t term = 0;
  uint64_t index = 0;  // last entry that the state includes
  uint64_t index_term = 0;
  KeeperMembers members;
  std::string data;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, term, index, index_term, members, data);
  }
};

/// First frame each way between keepers.
struct KeeperHello {
  static constexpr FrameType kType = 69;
  GroupId group;  // 0: belongs to none yet
  ReplicaId replica;
  NodeId id;
  world::Endpoint control;
  bool may_found = false;  // its folder was empty at the fleet's first start

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, replica, id, control, may_found);
  }
};

/// Founds a group: every first member writes the same first entry.
struct FoundGroup {
  static constexpr FrameType kType = 70;
  KeeperMembers members;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

/// A request of an operator, passed on to the leader.
struct ForwardRequest {
  static constexpr FrameType kType = 71;
  uint64_t call = 0;  // echoed in the reply
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> query;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, method, path, query, body);
  }
};

/// Answer to ForwardRequest; status 0 when the receiver does not lead.
struct ForwardReply {
  static constexpr FrameType kType = 72;
  uint64_t call = 0;
  int32_t status = 0;
  std::string content_type;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, status, content_type, body);
  }
};

/// What a node says of its configuration; the number grows by one each time.
struct NodeReport {
  uint64_t number = 0;
  Revision active;
  Revision staged;      // checked and found good; 0: none
  Revision refused;     // checked and found bad; 0: none
  std::string refusal;  // why

  auto operator<=>(const NodeReport&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, active, staged, refused, refusal);
  }
};

/// First frame of a node to a keeper, and again when its place changes.
struct FollowKeeper {
  static constexpr FrameType kType = 75;
  NodeId node;
  Incarnation incarnation;
  world::Location location;
  ServiceName service;
  world::Endpoint admin;
  GroupId group;  // followed before; 0: none

  auto operator<=>(const FollowKeeper&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, location, service, admin, group);
  }
};

/// Heartbeat of a node.
struct NodeHeartbeat {
  static constexpr FrameType kType = 76;
  NodeReport report;
  std::string status;  // JSON object; empty: as before

  auto operator<=>(const NodeHeartbeat&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(report, status);
  }
};

/// A majority confirmed, after the heartbeat `number` was sent, that `active`
/// is in force: the node may serve it for `lease_us` from when it sent that.
struct LeaseGrant {
  static constexpr FrameType kType = 77;
  uint64_t number = 0;
  Revision active;
  uint64_t lease_us = 0;

  auto operator<=>(const LeaseGrant&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, active, lease_us);
  }
};

/// A file that is staged, or with `active` in force by a committed decision.
/// The text is left out when the node reported the file as staged.
struct ConfigUpdate {
  static constexpr FrameType kType = 78;
  GroupId group;
  Revision revision;
  Digest digest;
  bool active = false;
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, revision, digest, active, text);
  }
};

/// The node says goodbye; the keeper closes the link once that is taken.
struct LeaveKeeper {
  static constexpr FrameType kType = 79;
  NodeId node;
  Incarnation incarnation;

  auto operator<=>(const LeaveKeeper&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation);
  }
};

/// One node, as the keeper that it follows tells the leader.
struct SessionReport {
  FollowKeeper node;
  NodeHeartbeat heartbeat;

  auto operator<=>(const SessionReport&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, heartbeat);
  }
};

/// Heartbeats of a keeper's nodes for the leader; those of the same moment
/// share one frame and one confirmation.
struct SessionReports {
  static constexpr FrameType kType = 73;
  std::vector<SessionReport> sessions;
  std::vector<LeaveKeeper> left;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sessions, left);
  }
};

/// A grant for one node.
struct SessionGrant {
  NodeId node;
  Incarnation incarnation;
  uint64_t number = 0;

  auto operator<=>(const SessionGrant&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, number);
  }
};

/// Answer to SessionReports once a majority has confirmed.
struct SessionGrants {
  static constexpr FrameType kType = 74;
  std::vector<SessionGrant> grants;
  Revision active;
  uint64_t lease_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(grants, active, lease_us);
  }
};

/// A ClaimSettle has been committed.
struct SettleReply {
  static constexpr FrameType kType = 83;
  RequestKey key;
  ClaimHolder holder;

  auto operator<=>(const SettleReply&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, holder);
  }
};

}  // namespace ibisvalve::wire

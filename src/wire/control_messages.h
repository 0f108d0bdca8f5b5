#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wire/archive.h"
#include "wire/claim_messages.h"
#include "wire/frame.h"
#include "world/world.h"

namespace ibisvalve::wire {

/// Identifies a replica of the keepers' log. It is created with the data
/// directory, so a keeper that has lost its disk gets a new one.
using ReplicaId = NumberId<struct ReplicaIdTag>;
/// Identifies a group of keepers; assigned when the group is founded.
using GroupId = NumberId<struct GroupIdTag>;

/// Type of an entry in the replicated log.
enum class EntryKind : uint8_t {
  kNoop,     // first entry of each leader's term
  kCommand,  // applied to the state machine
  kMembers,  // KeeperMembers; takes effect when appended, before commit
};

/// An entry in the replicated log.
struct LogEntry {
  uint64_t index = 0;  // starts at 1
  uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;

  auto operator<=>(const LogEntry&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(index, term, kind, data);
  }
};

/// A member of a group of keepers.
struct KeeperMember {
  ReplicaId replica;
  NodeId id;
  world::Endpoint control;
  bool voter = false;  // false: learner

  auto operator<=>(const KeeperMember&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(replica, id, control, voter);
  }
};

/// Membership of a group of keepers.
struct KeeperMembers {
  GroupId group;
  std::vector<KeeperMember> members;

  auto operator<=>(const KeeperMembers&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, members);
  }
};

/// Requests a vote. With `pre`, asks whether the vote would be granted
/// (pre-vote).
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

/// Reply to VoteRequest. A granted pre-vote carries the requested term.
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

/// Log entries from the leader; a heartbeat if `entries` is empty.
struct AppendRequest {
  static constexpr FrameType kType = 66;
  ReplicaId from;
  ReplicaId to;
  uint64_t term = 0;
  uint64_t prev_index = 0;  // of the entry that precedes `entries`
  uint64_t prev_term = 0;
  uint64_t commit = 0;
  uint64_t round = 0;  // echoed in the reply; confirms reads
  std::vector<LogEntry> entries;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, term, prev_index, prev_term, commit, round, entries);
  }
};

/// Reply to AppendRequest and InstallSnapshot, sent after the data is on disk.
struct AppendReply {
  static constexpr FrameType kType = 67;
  ReplicaId from;
  ReplicaId to;
  uint64_t term = 0;
  bool accepted = false;
  // Index of the last entry known to match; if not accepted, the index after
  // which the leader should retry.
  uint64_t match = 0;
  uint64_t round = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, term, accepted, match, round);
  }
};

/// Snapshot of the state up to a log entry, for a replica that is too far
/// behind to catch up from the log.
struct InstallSnapshot {
  static constexpr FrameType kType = 68;
  ReplicaId from;
  ReplicaId to;
  uint64_t term = 0;
  uint64_t index = 0;  // last entry included in the snapshot
  uint64_t index_term = 0;
  KeeperMembers members;
  std::string data;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, term, index, index_term, members, data);
  }
};

/// First frame in each direction on a link between keepers.
struct KeeperHello {
  static constexpr FrameType kType = 69;
  GroupId group;  // 0: not a member of a group yet
  ReplicaId replica;
  NodeId id;
  world::Endpoint control;
  // Whether the data directory was empty at the fleet's first start.
  bool may_found = false;
  // Whether the keeper's process is being stopped.
  bool leaving = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, replica, id, control, may_found, leaving);
  }
};

/// Founds a group: each initial member writes the same first log entry.
struct FoundGroup {
  static constexpr FrameType kType = 70;
  KeeperMembers members;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

/// Asks the leader whether a keeper that stops may end its process.
struct LeaveRequest {
  static constexpr FrameType kType = 84;
  uint64_t call = 0;  // echoed in the reply
  ReplicaId replica;  // the keeper that stops

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, replica);
  }
};

/// Result of LeaveRequest.
enum class LeaveResult : uint8_t {
  kRetry,  // the receiver does not lead, or the keeper still counts as a voter
  kLeft,   // the group does not count on the keeper
  kStays,  // the keeper stays a voter: the group cannot spare it
};

/// Reply to LeaveRequest.
struct LeaveReply {
  static constexpr FrameType kType = 85;
  uint64_t call = 0;
  LeaveResult result = LeaveResult::kRetry;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, result);
  }
};

/// What the sender knows of crashes of targets: from a node to its keeper and
/// from there to the leader, to be remembered, and from a keeper to its nodes.
struct CrashReport {
  static constexpr FrameType kType = 86;
  std::vector<world::CrashRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(records);
  }
};

/// Asks the keepers to remember that a run of a node's target has departed:
/// from the node to its keeper, and from there to the leader. What is
/// remembered already is confirmed again.
struct DepartureRequest {
  static constexpr FrameType kType = 92;
  uint64_t call = 0;  // echoed in the reply
  NodeId node;
  world::TargetRun run;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, node, run);
  }
};

/// Reply to DepartureRequest, sent once a majority of the keepers has stored
/// it.
struct DepartureReply {
  static constexpr FrameType kType = 93;
  uint64_t call = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call);
  }
};

/// Operator request forwarded to the leader.
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

/// Reply to ForwardRequest. Status 0 means that the receiver is not the leader.
struct ForwardReply {
  static constexpr FrameType kType = 72;
  uint64_t call = 0;
  int32_t status = 0;
  std::string content_type;
  std::string body;
  uint64_t applied = 0;  // index of the last entry that the leader has applied

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, status, content_type, body, applied);
  }
};

/// Configuration state reported by a node. `number` increases by one with each
/// report.
struct NodeReport {
  uint64_t number = 0;
  Revision active;
  Revision staged;             // validated and accepted; 0: none
  Revision refused;            // failed validation; 0: none
  std::string refusal_reason;  // reason why `refused` failed validation
  uint64_t zones = 0;          // version of the zone orders in effect

  auto operator<=>(const NodeReport&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, active, staged, refused, refusal_reason, zones);
  }
};

/// First frame from a node to a keeper; sent again when the node's location
/// changes.
struct FollowKeeper {
  static constexpr FrameType kType = 75;
  NodeId node;
  Incarnation incarnation;
  world::Location location;
  ServiceName service;
  world::Endpoint admin;
  GroupId group;  // group followed before; 0: none

  auto operator<=>(const FollowKeeper&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, location, service, admin, group);
  }
};

/// Heartbeat from a node to its keeper.
struct NodeHeartbeat {
  static constexpr FrameType kType = 76;
  NodeReport report;
  std::string status;  // JSON object; empty: unchanged

  auto operator<=>(const NodeHeartbeat&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(report, status);
  }
};

/// Grants a node a lease on revision `active`. A majority of the keepers has
/// confirmed, after the node sent heartbeat `number`, that this revision is in
/// force. The lease lasts `lease_us` from the time that heartbeat was sent.
struct LeaseGrant {
  static constexpr FrameType kType = 77;
  uint64_t number = 0;
  Revision active;
  uint64_t lease_us = 0;
  world::DepartedRuns departed;  // of the node's target, confirmed likewise

  auto operator<=>(const LeaseGrant&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, active, lease_us, departed);
  }
};

/// Distributes a configuration file: a staged one or, with `active`, one that a
/// committed log entry has put in force. The text is encoded as the difference
/// from that of revision `base`; 0: from an empty text. It is empty if the node
/// has reported the file as staged.
struct ConfigUpdate {
  static constexpr FrameType kType = 78;
  GroupId group;
  Revision revision;
  Digest digest;
  bool active = false;
  Revision base;
  std::string encoded_text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, revision, digest, active, base, encoded_text);
  }
};

/// The zones whose targets get no requests, from a keeper to its nodes.
struct ZoneOrdersUpdate {
  static constexpr FrameType kType = 90;
  uint64_t version = 0;
  std::set<ZoneName> evacuated;

  auto operator<=>(const ZoneOrdersUpdate&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, evacuated);
  }
};

/// Tokens of a workspace's quota that a node needs.
struct QuotaDemand {
  std::string workspace;
  uint32_t tokens = 0;
  uint64_t max_delay_us = 0;  // for which the requests may wait

  auto operator<=>(const QuotaDemand&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(workspace, tokens, max_delay_us);
  }
};

/// Tokens of a workspace's quota that the leader grants a node.
struct QuotaTokens {
  std::string workspace;
  uint32_t wanted = 0;
  uint32_t granted = 0;
  uint64_t delay_us = 0;  // they may be spent after this time
  uint64_t retry_us = 0;  // until a further token, if not all were granted

  auto operator<=>(const QuotaTokens&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(workspace, wanted, granted, delay_us, retry_us);
  }
};

/// Asks for tokens: from a node to its keeper.
struct QuotaRequest {
  static constexpr FrameType kType = 87;
  uint64_t call = 0;  // echoed in the reply
  std::vector<QuotaDemand> demands;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, demands);
  }
};

/// Reply to QuotaRequest.
struct QuotaReply {
  static constexpr FrameType kType = 88;
  uint64_t call = 0;
  std::vector<QuotaTokens> tokens;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, tokens);
  }
};

/// The requests of a keeper's nodes, to the leader. `call` is the keeper's.
struct QuotaRequests {
  static constexpr FrameType kType = 89;
  std::vector<QuotaRequest> requests;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(requests);
  }
};

/// Reply to QuotaRequests, sent after confirmation by a majority.
struct QuotaReplies {
  static constexpr FrameType kType = 91;
  std::vector<QuotaReply> replies;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(replies);
  }
};

/// Announces that the node is leaving. The keeper closes the link once it has
/// processed this message.
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

/// State of one node, reported to the leader by the keeper that the node
/// follows.
struct SessionReport {
  FollowKeeper node;
  NodeHeartbeat heartbeat;

  auto operator<=>(const SessionReport&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, heartbeat);
  }
};

/// Forwards the heartbeats of a keeper's nodes to the leader. Heartbeats that
/// arrive together are batched into one frame and one confirmation.
struct SessionReports {
  static constexpr FrameType kType = 73;
  std::vector<SessionReport> sessions;
  std::vector<LeaveKeeper> left;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sessions, left);
  }
};

/// Lease grant for one node.
struct SessionGrant {
  NodeId node;
  Incarnation incarnation;
  uint64_t number = 0;
  world::DepartedRuns departed;  // of the node's target

  auto operator<=>(const SessionGrant&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, number, departed);
  }
};

/// Reply to SessionReports, sent after confirmation by a majority.
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

/// Reply to ClaimSettle, sent after it has been committed.
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

#include "control/replica.h"

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <initializer_list>
#include <utility>

namespace ibisvalve::control {
namespace {

// Size limit for the entries in one message, in bytes. A single entry may
// exceed it.
constexpr size_t kMaxAppendBytes = 1 << 20;
// No more entries are sent to a peer that has not acknowledged this many, or
// entries with this many bytes.
constexpr uint64_t kMaxUnacknowledgedEntries = 16 << 10;
constexpr uint64_t kMaxUnacknowledgedBytes = 8 << 20;
constexpr Duration kSnapshotRetryInterval = std::chrono::seconds(10);
// Terms and indexes that a group cannot reach; sums of them do not overflow.
constexpr uint64_t kMaxNumber = uint64_t{1} << 62;

void CheckNumbers(std::initializer_list<uint64_t> numbers) {
  if (std::max(numbers) > kMaxNumber) {
    throw wire::WireError("a term or an index is out of range");
  }
}

void Check(const wire::VoteRequest& request) {
  CheckNumbers({request.term, request.last_term, request.last_index});
}

void Check(const wire::VoteReply& reply) {
  CheckNumbers({reply.term});
}

void Check(const wire::AppendRequest& request) {
  CheckNumbers({request.term, request.prev_index, request.prev_term,
                request.commit, request.round});
  uint64_t index = request.prev_index;
  for (const wire::LogEntry& entry : request.entries) {
    if (entry.index != ++index || entry.term > request.term) {
      throw wire::WireError("entries are not in order");
    }
  }
}

void Check(const wire::AppendReply& reply) {
  CheckNumbers({reply.term, reply.match, reply.round});
}

void Check(const wire::InstallSnapshot& snapshot) {
  CheckNumbers({snapshot.term, snapshot.index});
  if (snapshot.index == 0 || snapshot.index_term > snapshot.term) {
    throw wire::WireError("a snapshot does not name an entry of its leader");
  }
}

}  // namespace

bool ReplicaActions::empty() const {
  return messages_before_sync.empty() && !hard_state && !install &&
         entries.empty() && messages_after_sync.empty() && committed.empty() &&
         confirmed_reads.empty() && failed_reads.empty() &&
         need_snapshot.empty();
}

Replica::Replica(const ReplicaSettings& settings,
                 const RecoveredLog& recovered,
                 Time now)
    : settings_(settings),
      random_engine_(settings.seed),
      hard_state_(recovered.hard_state),
      log_(recovered.snapshot, recovered.entries),
      commit_(recovered.snapshot.index),
      delivered_(recovered.snapshot.index) {
  ResetElectionTimer(now);
}

void Replica::Tick(Time now) {
  if (leading()) {
    CheckQuorum(now);
    if (leading() && now >= heartbeat_deadline_) {
      broadcast_pending_ = true;
    }
    return;
  }
  // The only voter does not wait for the election timeout, since no other
  // replica can be leader.
  const bool is_only_voter = VoterCount() == 1;
  if (IsVoter(settings_.self) && (is_only_voter || now >= election_deadline_)) {
    Campaign(true, now);
  }
}

void Replica::Receive(const ReplicaMessage& message, Time now) {
  std::visit(
      [&](const auto& typed) {
        if (typed.to == settings_.self) {
          Check(typed);
          Handle(typed, now);
        }
      },
      message);
}

void Replica::FoundNewGroup(const wire::KeeperMembers& members, Time now) {
  if (log_.last_index() != 0) {
    return;
  }
  // A leader of the group may have raised the term before the founding entry
  // arrived.
  SetTerm(std::max<uint64_t>(1, hard_state_.term));
  log_.TruncateAndAppend(
      wire::LogEntry{1, 1, wire::EntryKind::kMembers, wire::Encode(members)});
  ResetElectionTimer(now);
}

std::optional<uint64_t> Replica::Propose(std::string command) {
  if (!leading()) {
    return std::nullopt;
  }
  return Append(wire::EntryKind::kCommand, std::move(command));
}

std::optional<uint64_t> Replica::ProposeMembers(
    const wire::KeeperMembers& members) {
  // Before an entry of this term is committed, a membership change of an
  // earlier leader may still be in progress. A second change could then be
  // committed by a majority that does not overlap with the majority of the
  // first.
  if (!committed_in_term() || log_.members_index() > commit_) {
    return std::nullopt;
  }
  return Append(wire::EntryKind::kMembers, wire::Encode(members));
}

std::optional<uint64_t> Replica::RequestRead() {
  if (!leading()) {
    return std::nullopt;
  }
  reads_.push_back(PendingRead{next_token_, 0, std::max(commit_, term_start_)});
  return next_token_++;
}

void Replica::SendSnapshot(wire::ReplicaId to,
                           uint64_t index,
                           std::string data,
                           Time now) {
  const auto peer = peers_.find(to);
  if (!leading() || peer == peers_.end()) {
    return;
  }
  peer->second.next_snapshot_at = now + kSnapshotRetryInterval;
  peer->second.snapshot_round = round_;
  actions_.messages_after_sync.emplace_back(wire::InstallSnapshot{
      settings_.self, to, hard_state_.term, index, log_.TermAt(index),
      log_.MembersAt(index), std::move(data)});
}

void Replica::Compact(uint64_t index) {
  CHECK_LE(index, delivered_);
  log_.Compact(index);
}

ReplicaActions Replica::TakeActions(Time now) {
  if (leading()) {
    const bool new_reads =
        std::any_of(reads_.begin(), reads_.end(),
                    [](const PendingRead& read) { return read.round == 0; });
    if (new_reads || broadcast_pending_) {
      ++round_;
      for (PendingRead& read : reads_) {
        read.round = read.round == 0 ? round_ : read.round;
      }
      Broadcast(now);
    }
    AdvanceCommit();
    ConfirmReads();
  }
  actions_.entries = log_.Unsynced();
  if (hard_state_changed_) {
    // A new term or vote must be on disk before any message of the term is
    // sent.
    actions_.hard_state = hard_state_;
    actions_.messages_after_sync.insert(actions_.messages_after_sync.begin(),
                                        actions_.messages_before_sync.begin(),
                                        actions_.messages_before_sync.end());
    actions_.messages_before_sync.clear();
  }
  for (; delivered_ < commit_; ++delivered_) {
    actions_.committed.push_back(log_.At(delivered_ + 1));
  }
  return std::exchange(actions_, ReplicaActions());
}

void Replica::OnSynced() {
  hard_state_changed_ = false;
  log_.MarkSynced(log_.last_index());
  if (leading()) {
    AdvanceCommit();
  }
}

void Replica::Handle(const wire::VoteRequest& request, Time now) {
  // A replica that received a message from a leader within the election timeout
  // rejects vote requests, so that other replicas cannot disrupt that leader. A
  // replica with an empty log does not vote, because it cannot determine
  // whether the candidate's log has all committed entries.
  const bool leader_is_alive =
      leading() || (has_leader_contact_ &&
                    now < last_leader_contact_ + settings_.election_timeout);
  const bool eligible = log_.last_index() > 0 && !leader_is_alive;
  wire::VoteReply reply{settings_.self, request.from, request.term, false,
                        request.pre};
  if (request.pre) {
    reply.granted =
        eligible && request.term > hard_state_.term && IsUpToDate(request);
  } else if (eligible) {
    if (request.term > hard_state_.term) {
      BecomeFollower(request.term, wire::ReplicaId(), now);
    }
    const bool may_vote =
        hard_state_.vote.value == 0 || hard_state_.vote == request.from;
    reply.granted =
        request.term == hard_state_.term && may_vote && IsUpToDate(request);
    if (reply.granted) {
      hard_state_.vote = request.from;
      hard_state_changed_ = true;
      ResetElectionTimer(now);
    }
  }
  if (!reply.granted) {
    reply.term = hard_state_.term;
  }
  actions_.messages_after_sync.emplace_back(reply);
}

void Replica::Handle(const wire::VoteReply& reply, Time now) {
  if (!reply.granted) {
    if (reply.term > hard_state_.term) {
      BecomeFollower(reply.term, wire::ReplicaId(), now);
    }
    return;
  }
  const bool pre = role_ == ReplicaRole::kPreCandidate;
  const bool campaigning = pre || role_ == ReplicaRole::kCandidate;
  const uint64_t campaign_term = pre ? hard_state_.term + 1 : hard_state_.term;
  if (!campaigning || reply.pre != pre || reply.term != campaign_term) {
    return;
  }
  votes_.insert(reply.from);
  if (HasMajority(votes_)) {
    if (pre) {
      Campaign(false, now);
    } else {
      BecomeLeader(now);
    }
  }
}

void Replica::Handle(const wire::AppendRequest& request, Time now) {
  if (request.term < hard_state_.term) {
    Reply(request, false, 0);
    return;
  }
  if (request.term > hard_state_.term || leader_ != request.from ||
      role_ != ReplicaRole::kFollower) {
    BecomeFollower(request.term, request.from, now);
  }
  last_leader_contact_ = now;
  has_leader_contact_ = true;
  ResetElectionTimer(now);
  if (!TryAppend(request)) {
    Reply(request, false, ConflictIndex(request.prev_index));
    return;
  }
  const uint64_t match = request.prev_index + request.entries.size();
  commit_ = std::max(commit_, std::min(request.commit, match));
  Reply(request, true, match);
}

void Replica::Handle(const wire::AppendReply& reply, Time now) {
  if (reply.term > hard_state_.term) {
    BecomeFollower(reply.term, wire::ReplicaId(), now);
    return;
  }
  const auto found = peers_.find(reply.from);
  if (!leading() || reply.term != hard_state_.term || found == peers_.end() ||
      reply.match > log_.last_index()) {
    return;
  }
  PeerProgress& peer = found->second;
  peer.last_reply = now;
  peer.round = std::max(peer.round, reply.round);
  if (reply.accepted) {
    peer.match = std::max(peer.match, reply.match);
    peer.next = std::max(peer.next, peer.match + 1);
    peer.probing = false;
    peer.next_snapshot_at = now;
  } else {
    peer.next = std::max(peer.match, reply.match) + 1;
    peer.probing = false;
    // Links preserve order, so a rejection from a later round means that the
    // snapshot was lost and may be sent again at once.
    if (reply.round > peer.snapshot_round + 1) {
      peer.next_snapshot_at = now;
    }
  }
  SendAppends(reply.from, peer, now);
}

void Replica::Handle(const wire::InstallSnapshot& snapshot, Time now) {
  if (snapshot.term < hard_state_.term) {
    actions_.messages_after_sync.emplace_back(wire::AppendReply{
        settings_.self, snapshot.from, hard_state_.term, false, 0, 0});
    return;
  }
  if (snapshot.term > hard_state_.term || leader_ != snapshot.from ||
      role_ != ReplicaRole::kFollower) {
    BecomeFollower(snapshot.term, snapshot.from, now);
  }
  last_leader_contact_ = now;
  has_leader_contact_ = true;
  ResetElectionTimer(now);
  const bool has_entry = log_.Holds(snapshot.index) &&
                         log_.TermAt(snapshot.index) == snapshot.index_term;
  if (has_entry) {
    commit_ = std::max(commit_, snapshot.index);
  } else if (snapshot.index > commit_) {
    const SnapshotMeta meta{snapshot.index, snapshot.index_term,
                            snapshot.members};
    log_.Reset(meta);
    commit_ = snapshot.index;
    delivered_ = snapshot.index;
    actions_.install = SnapshotToInstall{meta, snapshot.data};
    hard_state_changed_ = true;
  }
  actions_.messages_after_sync.emplace_back(
      wire::AppendReply{settings_.self, snapshot.from, hard_state_.term, true,
                        std::min(snapshot.index, commit_), 0});
}

bool Replica::IsVoter(wire::ReplicaId id) const {
  const auto& all = members().members;
  return std::any_of(all.begin(), all.end(),
                     [&](const wire::KeeperMember& member) {
                       return member.replica == id && member.voter;
                     });
}

size_t Replica::VoterCount() const {
  const auto& all = members().members;
  return static_cast<size_t>(std::count_if(
      all.begin(), all.end(),
      [](const wire::KeeperMember& member) { return member.voter; }));
}

bool Replica::HasMajority(const std::set<wire::ReplicaId>& ids) const {
  const auto voters = static_cast<size_t>(std::count_if(
      ids.begin(), ids.end(), [&](wire::ReplicaId id) { return IsVoter(id); }));
  return voters > VoterCount() / 2;
}

uint64_t Replica::MajorityValue(std::vector<uint64_t> values) const {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

bool Replica::IsUpToDate(const wire::VoteRequest& request) const {
  return std::pair(request.last_term, request.last_index) >=
         std::pair(log_.last_term(), log_.last_index());
}

void Replica::SetTerm(uint64_t term) {
  CHECK_GE(term, hard_state_.term);
  if (term > hard_state_.term) {
    hard_state_ = HardState{term, wire::ReplicaId()};
    hard_state_changed_ = true;
  }
}

void Replica::BecomeFollower(uint64_t term, wire::ReplicaId leader, Time now) {
  SetTerm(term);
  FailReads();
  role_ = ReplicaRole::kFollower;
  leader_ = leader;
  votes_.clear();
  peers_.clear();
  ResetElectionTimer(now);
}

void Replica::Campaign(bool pre, Time now) {
  BecomeFollower(pre ? hard_state_.term : hard_state_.term + 1,
                 wire::ReplicaId(), now);
  role_ = pre ? ReplicaRole::kPreCandidate : ReplicaRole::kCandidate;
  votes_ = {settings_.self};
  if (!pre) {
    hard_state_.vote = settings_.self;
    hard_state_changed_ = true;
  }
  if (HasMajority(votes_)) {
    if (pre) {
      Campaign(false, now);
    } else {
      BecomeLeader(now);
    }
    return;
  }
  for (const wire::KeeperMember& member : members().members) {
    if (member.voter && member.replica != settings_.self) {
      actions_.messages_after_sync.emplace_back(
          wire::VoteRequest{settings_.self, member.replica,
                            pre ? hard_state_.term + 1 : hard_state_.term,
                            log_.last_index(), log_.last_term(), pre});
    }
  }
}

void Replica::BecomeLeader(Time now) {
  role_ = ReplicaRole::kLeader;
  leader_ = settings_.self;
  votes_.clear();
  peers_.clear();
  round_ = 0;
  term_start_ = Append(wire::EntryKind::kNoop, "");
  RefreshPeers(now);
}

void Replica::ResetElectionTimer(Time now) {
  std::uniform_int_distribution<int64_t> extra(
      0, settings_.election_timeout.count());
  election_deadline_ =
      now + settings_.election_timeout + Duration(extra(random_engine_));
}

uint64_t Replica::Append(wire::EntryKind kind, std::string data) {
  const uint64_t index = log_.last_index() + 1;
  log_.TruncateAndAppend(
      wire::LogEntry{index, hard_state_.term, kind, std::move(data)});
  broadcast_pending_ = true;
  return index;
}

// Appends the entries of `request` that are not in the log yet. Returns false
// if the entry that precedes them does not match. Throws WireError if they
// conflict with committed entries.
bool Replica::TryAppend(const wire::AppendRequest& request) {
  if (request.prev_index > log_.last_index()) {
    return false;
  }
  if (request.prev_index >= log_.base_index() &&
      log_.TermAt(request.prev_index) != request.prev_term) {
    return false;
  }
  // Entries up to the base are committed, so they are the same on every leader.
  for (const wire::LogEntry& entry : request.entries) {
    const bool known = entry.index <= log_.base_index() ||
                       (entry.index <= log_.last_index() &&
                        log_.TermAt(entry.index) == entry.term);
    if (!known) {
      if (entry.index <= commit_ || entry.index > log_.last_index() + 1) {
        throw wire::WireError(
            "append request conflicts with committed log entries");
      }
      log_.TruncateAndAppend(entry);
    }
  }
  return true;
}

// Returns the index after which the leader may retry. All uncommitted entries
// of the conflicting term are skipped at once.
uint64_t Replica::ConflictIndex(uint64_t prev_index) const {
  if (prev_index > log_.last_index()) {
    return log_.last_index();
  }
  uint64_t index = prev_index;
  const uint64_t term = log_.TermAt(index);
  while (index > commit_ && index > log_.base_index() &&
         log_.TermAt(index) == term) {
    --index;
  }
  return index;
}

// Updates peers_ to the current members. Keeps the progress of known peers.
void Replica::RefreshPeers(Time now) {
  std::map<wire::ReplicaId, PeerProgress> updated;
  for (const wire::KeeperMember& member : members().members) {
    if (member.replica == settings_.self) {
      continue;
    }
    const auto known = peers_.find(member.replica);
    updated[member.replica] =
        known != peers_.end()
            ? known->second
            : PeerProgress{.next = log_.last_index() + 1, .last_reply = now};
  }
  peers_ = std::move(updated);
}

void Replica::SendAppends(wire::ReplicaId id, PeerProgress& peer, Time now) {
  if (peer.next <= log_.base_index()) {
    if (now >= peer.next_snapshot_at) {
      actions_.need_snapshot.push_back(id);
      peer.next_snapshot_at = now + kSnapshotRetryInterval;
    }
    return;
  }
  while (!peer.probing && peer.next <= log_.last_index() && MaySendMore(peer)) {
    SendOneAppend(id, peer, true);
  }
}

// Returns whether what the peer has not acknowledged leaves room for more.
bool Replica::MaySendMore(const PeerProgress& peer) const {
  const uint64_t last_sent = peer.next - 1;
  return last_sent <= peer.match ||
         (last_sent < peer.match + kMaxUnacknowledgedEntries &&
          log_.StartOfRecent(last_sent, kMaxUnacknowledgedEntries,
                             kMaxUnacknowledgedBytes) <=
              std::max(peer.match, log_.base_index()));
}

void Replica::SendOneAppend(wire::ReplicaId id,
                            PeerProgress& peer,
                            bool entries) {
  const uint64_t prev = std::max(peer.next - 1, log_.base_index());
  wire::AppendRequest request{
      settings_.self,    id,      hard_state_.term, prev,
      log_.TermAt(prev), commit_, round_,           {}};
  if (entries) {
    request.entries = log_.EntriesFrom(peer.next, kMaxAppendBytes);
    peer.next += request.entries.size();
  }
  actions_.messages_before_sync.emplace_back(std::move(request));
}

void Replica::Broadcast(Time now) {
  broadcast_pending_ = false;
  heartbeat_deadline_ = now + settings_.heartbeat_interval;
  RefreshPeers(now);
  for (auto& [id, peer] : peers_) {
    const size_t before = actions_.messages_before_sync.size();
    SendAppends(id, peer, now);
    if (actions_.messages_before_sync.size() == before) {
      SendOneAppend(id, peer, false);
    }
  }
}

void Replica::AdvanceCommit() {
  std::vector<uint64_t> matches;
  for (const wire::KeeperMember& member : members().members) {
    if (!member.voter) {
      continue;
    }
    const auto peer = peers_.find(member.replica);
    matches.push_back(member.replica == settings_.self ? log_.synced_index()
                      : peer == peers_.end()           ? 0
                                                       : peer->second.match);
  }
  const uint64_t index = MajorityValue(std::move(matches));
  // An entry of an earlier term on a majority may still be overwritten, so it
  // is committed only together with an entry of the current term (Raft, 5.4.2).
  if (index > commit_ && log_.TermAt(index) == hard_state_.term) {
    commit_ = index;
    broadcast_pending_ = true;
  }
}

void Replica::ConfirmReads() {
  std::vector<uint64_t> rounds;
  for (const wire::KeeperMember& member : members().members) {
    if (!member.voter) {
      continue;
    }
    const auto peer = peers_.find(member.replica);
    rounds.push_back(member.replica == settings_.self ? round_
                     : peer == peers_.end()           ? 0
                                                      : peer->second.round);
  }
  const uint64_t confirmed = MajorityValue(std::move(rounds));
  std::erase_if(reads_, [&](const PendingRead& read) {
    const bool done =
        read.round != 0 && read.round <= confirmed && read.index <= commit_;
    if (done) {
      actions_.confirmed_reads.push_back(read.token);
    }
    return done;
  });
}

void Replica::FailReads() {
  for (const PendingRead& read : reads_) {
    actions_.failed_reads.push_back(read.token);
  }
  reads_.clear();
}

void Replica::CheckQuorum(Time now) {
  std::set<wire::ReplicaId> reachable = {settings_.self};
  for (const auto& [id, peer] : peers_) {
    if (now < peer.last_reply + settings_.election_timeout) {
      reachable.insert(id);
    }
  }
  const bool removed =
      !IsVoter(settings_.self) && log_.members_index() <= commit_;
  if (removed || !HasMajority(reachable)) {
    BecomeFollower(hard_state_.term, wire::ReplicaId(), now);
  }
}

void Replica::Reply(const wire::AppendRequest& request,
                    bool accepted,
                    uint64_t match) {
  actions_.messages_after_sync.emplace_back(
      wire::AppendReply{settings_.self, request.from, hard_state_.term,
                        accepted, match, request.round});
}

}  // namespace ibisvalve::control

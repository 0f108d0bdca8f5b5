#include "membership/table_sync.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ibisvalve::membership {
namespace {

using wire::GossipMembers;
using world::Member;
using world::MemberState;

constexpr size_t kBucketNumberBytes = 2;

// Packs buckets into messages, filling one after the other.
class Packer {
 public:
  Packer(const wire::GossipSender& sender,
         size_t max_bytes,
         size_t max_messages)
      : sender_(sender),
        room_(max_bytes - wire::Encode(GossipMembers{sender, {}, {}}).size()),
        max_messages_(max_messages) {
    StartMessage();
  }

  // Adds a bucket and returns whether it fits into the allowed messages. If it
  // does not, some of its members may have been added, but the receiver's
  // members of the bucket are not requested.
  bool AddBucket(uint16_t bucket, const std::vector<Member>& members) {
    for (const Member& member : members) {
      if (!Add(member)) {
        StartMessage();
        if (messages_.size() > max_messages_ || !Add(member)) {
          return false;
        }
      }
    }
    if (UsedBytes() + kBucketNumberBytes > room_) {
      StartMessage();
    }
    messages_.back().wanted.push_back(bucket);
    return messages_.size() <= max_messages_;
  }

  std::vector<GossipMembers> Take() {
    if (messages_.size() > max_messages_) {
      messages_.pop_back();
    }
    std::erase_if(messages_, [](const GossipMembers& message) {
      return message.wanted.empty() && message.members.empty();
    });
    return std::move(messages_);
  }

 private:
  void StartMessage() { messages_.push_back({sender_, {}, {}}); }

  // Adds a member to the last message and returns whether it fits. Reserves
  // space for the number of the bucket that is being added.
  bool Add(const Member& member) {
    wire::MemberBatch& batch = messages_.back().members;
    const size_t left =
        room_ - std::min(room_, UsedBytes() + kBucketNumberBytes);
    return batch.Add(ToAnnouncement(member), batch.bytes() + left);
  }

  // Returns by how many bytes the last message exceeds an empty one.
  size_t UsedBytes() const {
    const GossipMembers& message = messages_.back();
    return message.wanted.size() * kBucketNumberBytes +
           message.members.bytes() - wire::MemberBatch().bytes();
  }

  wire::GossipSender sender_;
  size_t room_;
  size_t max_messages_;
  std::vector<GossipMembers> messages_;
};

void CheckBucket(size_t bucket) {
  if (bucket >= MemberTable::kBuckets) {
    throw wire::WireError("bucket number out of range");
  }
}

}  // namespace

std::vector<uint16_t> DifferingBuckets(const MemberTable& table,
                                       const std::vector<uint32_t>& digests,
                                       size_t start) {
  const bool all = digests.empty();
  if (!all && digests.size() != MemberTable::kBuckets) {
    throw wire::WireError("sync has a wrong number of bucket digests");
  }
  std::vector<uint16_t> differing;
  for (size_t i = 0; i < MemberTable::kBuckets; ++i) {
    const size_t bucket = (start + i) % MemberTable::kBuckets;
    if (all || digests[bucket] != table.digests()[bucket]) {
      differing.push_back(static_cast<uint16_t>(bucket));
    }
  }
  return differing;
}

std::vector<GossipMembers> PackBuckets(const MemberTable& table,
                                       const std::vector<uint16_t>& buckets,
                                       const wire::GossipSender& sender,
                                       size_t max_bytes,
                                       size_t max_messages) {
  Packer packer(sender, max_bytes, max_messages);
  for (const uint16_t bucket : buckets) {
    CheckBucket(bucket);
    std::vector<Member> members;
    for (const NodeId& id : table.Bucket(bucket)) {
      members.push_back(*table.Find(id));
    }
    if (!packer.AddBucket(bucket, members)) {
      break;
    }
  }
  return packer.Take();
}

GossipMembers PackAnswer(const MemberTable& table,
                         const GossipMembers& received,
                         const wire::GossipSender& sender,
                         size_t max_bytes) {
  std::map<NodeId, Member> known;
  for (const Member& member : received.members.Unpack()) {
    known[member.id] = member;
  }
  GossipMembers answer{sender, {}, {}};
  const size_t room =
      max_bytes - wire::Encode(answer).size() + wire::MemberBatch().bytes();
  for (const uint16_t bucket : received.wanted) {
    CheckBucket(bucket);
    for (const NodeId& id : table.Bucket(bucket)) {
      const Member& mine = *table.Find(id);
      const auto theirs = known.find(id);
      const bool newer = theirs == known.end()
                             ? IsLive(mine)
                             : Overrides(mine, theirs->second);
      if (newer && !answer.members.Add(ToAnnouncement(mine), room)) {
        return answer;
      }
    }
  }
  return answer;
}

Member ToAnnouncement(const Member& member) {
  Member announcement = member;
  if (announcement.state == MemberState::kUnreachable) {
    announcement.state = MemberState::kDead;
  }
  return announcement;
}

}  // namespace ibisvalve::membership

#pragma once

#include <cstdint>
#include <vector>

#include "membership/member_table.h"
#include "wire/wire.h"

namespace ibisvalve::membership {

/// Returns the buckets whose digests differ from those of `table`, in cyclic
/// order from `start` on, or all buckets if `digests` is empty. Throws
/// WireError if the number of `digests` is neither 0 nor the number of buckets.
std::vector<uint16_t> DifferingBuckets(const MemberTable& table,
                                       const std::vector<uint32_t>& digests,
                                       size_t start);

/// Packs the members of `buckets` into messages of at most `max_bytes` each, as
/// many buckets as fit into `max_messages`. Each message also requests the
/// receiver's members of its buckets. Throws WireError if a bucket number is
/// out of range.
std::vector<wire::GossipMembers> PackBuckets(
    const MemberTable& table,
    const std::vector<uint16_t>& buckets,
    const wire::GossipSender& sender,
    size_t max_bytes,
    size_t max_messages);

/// Returns the answer to `received`: the members of the wanted buckets that
/// `received` lacks or for which `table` has a newer announcement, as many as
/// fit into one message of `max_bytes`. Throws WireError if a bucket number is
/// out of range.
wire::GossipMembers PackAnswer(const MemberTable& table,
                               const wire::GossipMembers& received,
                               const wire::GossipSender& sender,
                               size_t max_bytes);

/// Returns `member` as it is sent to other nodes. An unreachable member is sent
/// as dead, because each node determines by itself which members are
/// unreachable.
world::Member ToAnnouncement(const world::Member& member);

}  // namespace ibisvalve::membership

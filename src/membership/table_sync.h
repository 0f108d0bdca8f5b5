#pragma once

#include <cstdint>
#include <vector>

#include "membership/member_table.h"
#include "wire/wire.h"

namespace ibisvalve::membership {

/// Returns the buckets whose digests differ from `table`'s, from `start` on
/// and round; all of them when `digests` is empty. Throws WireError when
/// `digests` has another number of buckets.
std::vector<uint16_t> DifferingBuckets(const MemberTable& table,
                                       const std::vector<uint32_t>& digests,
                                       size_t start);

/// Returns the members of `buckets` as messages of at most `max_bytes` each,
/// as many of the buckets as go into `max_messages`. Each message asks for the
/// receiver's own members of its buckets.
std::vector<wire::GossipMembers> PackBuckets(
    const MemberTable& table,
    const std::vector<uint16_t>& buckets,
    const wire::GossipSender& sender,
    size_t max_bytes,
    size_t max_messages);

/// Returns the answer to `received`: what `table` knows beyond it of the
/// wanted buckets, in at most one message of `max_bytes`.
wire::GossipMembers PackAnswer(const MemberTable& table,
                               const wire::GossipMembers& received,
                               const wire::GossipSender& sender,
                               size_t max_bytes);

/// Returns `member` as it is told to others: that it is held as unreachable is
/// each node's own conclusion.
world::Member AsTold(const world::Member& member);

}  // namespace ibisvalve::membership

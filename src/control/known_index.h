#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "control/replica_driver.h"
#include "net/net.h"

namespace ibisvalve::control {

/// Tracks how far the group's log is known to reach, and stamps requests with
/// that index. If an entry after the stamp of an order has set what the order
/// would change, the order may have been sent before that entry.
class KnownIndex {
 public:
  explicit KnownIndex(const ReplicaDriver& driver) : driver_(driver) {}

  /// Stamps the requests to `server`, which must live as long as the loop runs.
  void Stamp(net::AdminServer& server);
  /// Records that the log reaches `index`, as another keeper says.
  void Learn(uint64_t index) { learned_ = std::max(learned_, index); }
  /// Handles that an entry which supersedes orders has been applied, or that
  /// such an index was learned.
  void Refresh();
  /// Returns the last index that is known to be committed.
  uint64_t present() const {
    return std::max(learned_, driver_.state().applied());
  }

 private:
  const ReplicaDriver& driver_;
  uint64_t learned_ = 0;
  std::vector<net::AdminServer*> servers_;
};

/// Returns `request` with the index that its receiver knew before it was sent,
/// for the keeper that decides on it; `present` if it has no stamp.
net::AdminRequest WithKnownIndex(const net::AdminRequest& request,
                                 uint64_t present);

/// Returns the index that WithKnownIndex added; 0 if there is none.
uint64_t KnownIndexOf(const net::AdminRequest& request);

}  // namespace ibisvalve::control

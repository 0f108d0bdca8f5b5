#include "dataplane/revision_fetcher.h"

namespace ibisvalve::dataplane {
namespace {

// How long to wait for a requested configuration file before it is requested
// again, possibly from another peer.
constexpr Duration kFetchRetryInterval = std::chrono::milliseconds(300);

}  // namespace

void RevisionFetcher::OnSeen(const NodeId& peer, Revision seen, Time now) {
  if (seen <= view_.revision() ||
      (seen == requested_ && now < requested_at_ + kFetchRetryInterval)) {
    return;
  }
  requested_ = seen;
  requested_at_ = now;
  if (handlers_.on_newer_revision) {
    handlers_.on_newer_revision(seen);
  }
  if (handlers_.on_file) {
    gates_.FetchFile(peer);
  }
}

}  // namespace ibisvalve::dataplane

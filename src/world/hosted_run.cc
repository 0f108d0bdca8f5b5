#include "world/hosted_run.h"

#include <algorithm>

namespace ibisvalve::world {

HostedRun Latest(const HostedRun& a, const HostedRun& b) {
  return std::max(a, b);
}

bool Outlived(const HostedRun& hosted, Incarnation ended) {
  return hosted.run != Digest() && hosted.since <= ended &&
         ended < hosted.confirmed;
}

}  // namespace ibisvalve::world

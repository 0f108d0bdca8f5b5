#include "control/known_index.h"

#include <charconv>
#include <string>

namespace ibisvalve::control {
namespace {

constexpr char kParameter[] = "known";

}  // namespace

void KnownIndex::Stamp(net::AdminServer& server) {
  server.SetStamps([this] { return present(); });
  servers_.push_back(&server);
}

void KnownIndex::Refresh() {
  for (net::AdminServer* server : servers_) {
    server->RefreshStamp();
  }
}

net::AdminRequest WithKnownIndex(const net::AdminRequest& request,
                                 uint64_t present) {
  net::AdminRequest known = request;
  known.query[kParameter] = std::to_string(request.stamp.value_or(present));
  return known;
}

uint64_t KnownIndexOf(const net::AdminRequest& request) {
  const auto found = request.query.find(kParameter);
  uint64_t index = 0;
  if (found != request.query.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), index);
  }
  return index;
}

}  // namespace ibisvalve::control

#include "dataplane/target_messages.h"

#include <chrono>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {

TargetRequest TargetRequestFor(const GateRun& run,
                               const PlaneSettings& settings,
                               const std::string& identity) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      run.deadline - run.dispatched);
  TargetRequest request{run.open.method, run.open.uri, run.open.headers,
                        run.open.body};
  const HeaderNames& names = settings.names;
  request.headers.emplace_back(names.deadline, std::to_string(left.count()));
  if (!names.caller.empty()) {
    request.headers.emplace_back(names.caller, run.open.caller.value);
  }
  if (!names.target.empty() && !identity.empty()) {
    request.headers.emplace_back(names.target, identity);
  }
  if (names.own) {
    request.headers.emplace_back(kDepthHeader, std::to_string(run.open.depth));
    if (run.open.retry) {
      request.headers.emplace_back(kRetryHeader, "1");
    }
  }
  return request;
}

bool Declines(const TargetHead& head, const HeaderNames& names) {
  const bool misdirected = !names.target.empty() && head.status == kMisdirected;
  return misdirected || (!names.not_run.empty() &&
                         FindHeader(head.headers, names.not_run) != nullptr);
}

}  // namespace ibisvalve::dataplane

#include "dataplane/target_messages.h"

#include <chrono>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {

TargetRequest MakeTargetRequest(const GateAttempt& attempt,
                                const PlaneSettings& settings,
                                const std::string& identity) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      attempt.deadline - attempt.dispatched);
  TargetRequest request{attempt.open.method, attempt.open.uri,
                        attempt.open.headers, attempt.open.body};
  const HeaderNames& names = settings.names;
  request.headers.emplace_back(names.deadline,
                               std::to_string(remaining.count()));
  if (!names.caller.empty()) {
    request.headers.emplace_back(names.caller, attempt.open.caller.value);
  }
  if (!names.workspace.empty() && !attempt.open.workspace.empty()) {
    request.headers.emplace_back(names.workspace, attempt.open.workspace);
  }
  if (!names.target.empty() && !identity.empty()) {
    request.headers.emplace_back(names.target, identity);
  }
  if (names.send_ibis_headers) {
    request.headers.emplace_back(kDepthHeader,
                                 std::to_string(attempt.open.depth));
    if (attempt.open.retry) {
      request.headers.emplace_back(kRetryHeader, "1");
    }
  }
  return request;
}

bool ProvesNotRun(const TargetHead& head, const HeaderNames& names) {
  const bool misdirected =
      !names.target.empty() && head.status == kMisdirectedRequest;
  return misdirected || (!names.not_run.empty() &&
                         FindHeader(head.headers, names.not_run) != nullptr);
}

}  // namespace ibisvalve::dataplane

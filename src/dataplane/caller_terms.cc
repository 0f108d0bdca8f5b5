#include "dataplane/caller_terms.h"

#include <algorithm>

#include "dataplane/gate_reply.h"
#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

using world::Reason;

constexpr size_t kMaxKeyBytes = 255;
constexpr uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;

// The service is named by a header, else by the first label of Host.
ServiceName NamedService(const wire::Headers& headers) {
  if (const std::string* named = FindHeader(headers, kServiceHeader)) {
    return ServiceName(*named);
  }
  const std::string& host = *FindHeader(headers, "Host");
  return ServiceName(host.substr(0, host.find_first_of(".:")));
}

// Reads the number in header `name` into `value`; returns false where it is
// not a number up to `max`.
bool ReadNumber(const wire::Headers& headers,
                const char* name,
                uint64_t max,
                std::optional<uint64_t>& value) {
  const std::string* text = FindHeader(headers, name);
  if (text == nullptr) {
    return true;
  }
  value = ParseNumber(*text);
  return value.has_value() && *value <= max;
}

std::string PathOf(const std::string& uri) {
  return uri.substr(0, uri.find_first_of("?#"));
}

Digest Fingerprint(const CallerRequest& request) {
  return DigestOf(request.method + '\n' + request.uri + '\n' +
                  ToHex(DigestOf(request.body)));
}

}  // namespace

std::optional<CallerTerms> ParseTerms(const CallerRequest& request,
                                      const world::Fleet& fleet,
                                      CallerRefusal& refusal) {
  const wire::Headers& headers = request.headers;
  const std::string fault = FramingFault(request.method, headers);
  if (!fault.empty()) {
    refusal = {Reason::kBadRequest, fault, true};
    return std::nullopt;
  }
  std::optional<uint64_t> deadline_ms;
  std::optional<uint64_t> depth;
  if (!ReadNumber(headers, kDeadlineHeader, kMaxDeadlineMs, deadline_ms) ||
      !ReadNumber(headers, kDepthHeader, kMaxDepth - 1, depth)) {
    refusal = {Reason::kBadRequest, "a deadline or depth is out of range"};
    return std::nullopt;
  }
  if (request.uri.empty() || request.uri.front() != '/') {
    refusal = {Reason::kBadRequest, "the request names no path"};
    return std::nullopt;
  }
  CallerTerms parsed;
  parsed.service = world::FindService(fleet, NamedService(headers));
  if (parsed.service == nullptr) {
    refusal = {Reason::kUnknownService, "no such service is in force"};
    return std::nullopt;
  }
  parsed.terms =
      world::TermsFor(*parsed.service, request.method, PathOf(request.uri));
  parsed.deadline = parsed.terms.deadline;
  if (deadline_ms) {
    parsed.deadline = std::min<Duration>(
        parsed.deadline, std::chrono::milliseconds(*deadline_ms));
  }
  parsed.depth = static_cast<uint8_t>(depth ? *depth + 1 : 0);
  parsed.retry = FindHeader(headers, kRetryHeader) != nullptr;
  if (const std::string* key = FindHeader(headers, kKeyHeader)) {
    parsed.key = *key;
  }
  if (parsed.key.size() > kMaxKeyBytes) {
    refusal = {Reason::kBadRequest, "the Idempotency-Key is too long"};
    return std::nullopt;
  }
  if (parsed.key.empty() && parsed.terms.key == world::KeyRule::kRequired &&
      parsed.terms.repeat == world::Repeat::kNever) {
    refusal = {Reason::kKeyRequired, "this request needs an Idempotency-Key"};
    return std::nullopt;
  }
  if (request.body.size() > parsed.service->limits.request_body) {
    refusal = {Reason::kTooLarge, "the body is over the service's limit"};
    return std::nullopt;
  }
  parsed.fingerprint = Fingerprint(request);
  return parsed;
}

}  // namespace ibisvalve::dataplane

#include "dataplane/caller_terms.h"

#include <algorithm>
#include <cctype>

#include "dataplane/gate_reply.h"
#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

using world::Reason;

constexpr size_t kMaxKeyBytes = 255;
constexpr uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;

// Returns the value of Ibis-Service, or else the first label of Host.
ServiceName NamedService(const wire::Headers& headers) {
  if (const std::string* named = FindHeader(headers, kServiceHeader)) {
    return ServiceName(*named);
  }
  const std::string& host = *FindHeader(headers, "Host");
  return ServiceName(host.substr(0, host.find_first_of(".:")));
}

// Reads the header `name` into `value`; leaves it unset if the header is
// absent. Returns false if the header is present but not a number up to `max`.
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

Digest FingerprintOf(const CallerRequest& request) {
  return DigestOf(request.method + '\n' + request.uri + '\n' +
                  ToHex(DigestOf(request.body)));
}

// Returns the Host header in the form that routes use: lower case, no port.
std::string HostOf(const wire::Headers& headers) {
  std::string host = *FindHeader(headers, "Host");
  host.resize(std::min(host.find(':'), host.size()));
  std::transform(host.begin(), host.end(), host.begin(), [](char letter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  });
  return host;
}

// Parser for the terms of one request; each member function is one step.
class TermsParser {
 public:
  TermsParser(const CallerRequest& request,
              const world::Fleet& fleet,
              const policy::WorkspaceKeys& keys,
              const HeaderNames& names,
              const ServiceName& caller,
              CallerRefusal& refusal)
      : request_(request),
        fleet_(fleet),
        keys_(keys),
        names_(names),
        caller_(caller),
        refusal_(refusal) {}

  std::optional<CallerTerms> Parse(const PickService& pick);

 private:
  bool ReadNumbers();
  bool ResolveRoute(const PickService& pick);
  bool ResolveService();
  bool Identify(const world::Route* route, bool is_public);
  uint32_t PriorityOr(uint32_t otherwise) const;
  bool ReadKey();
  world::RequestIdentity IdentityOfRequest() const;
  bool Refuse(Reason reason, const std::string& detail, bool close = false) {
    refusal_ = {reason, detail, close};
    return false;
  }

  const CallerRequest& request_;
  const world::Fleet& fleet_;
  const policy::WorkspaceKeys& keys_;
  const HeaderNames& names_;
  const ServiceName& caller_;
  CallerRefusal& refusal_;
  CallerTerms parsed_;
  std::optional<uint64_t> deadline_ms_;
};

std::optional<CallerTerms> TermsParser::Parse(const PickService& pick) {
  const std::string fault = FindFramingError(request_.headers);
  if (!fault.empty()) {
    Refuse(Reason::kBadRequest, fault, true);
    return std::nullopt;
  }
  if (!ReadNumbers() ||
      !(fleet_.routes ? ResolveRoute(pick) : ResolveService()) || !ReadKey()) {
    return std::nullopt;
  }
  parsed_.deadline = parsed_.terms.deadline;
  if (deadline_ms_) {
    parsed_.caller_deadline = std::chrono::milliseconds(*deadline_ms_);
    parsed_.deadline = std::min(parsed_.deadline, parsed_.caller_deadline);
  }
  if (request_.body.size() > parsed_.service->limits.request_body) {
    Refuse(Reason::kTooLarge, "the body is over the service's limit");
    return std::nullopt;
  }
  parsed_.fingerprint = FingerprintOf(request_);
  parsed_.identity = IdentityOfRequest();
  return parsed_;
}

bool TermsParser::ReadNumbers() {
  std::optional<uint64_t> depth;
  if (!ReadNumber(request_.headers, names_.deadline.c_str(), kMaxDeadlineMs,
                  deadline_ms_) ||
      !ReadNumber(request_.headers, kDepthHeader, kMaxCallDepth - 1, depth)) {
    return Refuse(Reason::kBadRequest, "a deadline or depth is out of range");
  }
  if (request_.uri.empty() || request_.uri.front() != '/') {
    return Refuse(Reason::kBadRequest, "the request names no path");
  }
  parsed_.depth = static_cast<uint8_t>(depth ? *depth + 1 : 0);
  parsed_.under_retry = FindHeader(request_.headers, kRetryHeader) != nullptr;
  return true;
}

bool TermsParser::ResolveRoute(const PickService& pick) {
  const world::Route* route =
      world::FindRoute(fleet_, HostOf(request_.headers), PathOf(request_.uri));
  if (route == nullptr) {
    return Refuse(Reason::kNoRoute, "no route fits this host and path");
  }
  if (!Identify(route, route->is_public)) {
    return false;
  }
  parsed_.service = world::FindService(fleet_, pick(*route));
  if (parsed_.service == nullptr) {
    return Refuse(Reason::kUnknownService, "no such service is in force");
  }
  parsed_.terms = {route->repeat, world::KeyRule::kOptional, route->timeout};
  parsed_.kind = route->name + '>' + parsed_.service->name.value;
  parsed_.objective = route->objective;
  parsed_.priority = PriorityOr(route->priority);
  parsed_.max_attempts = route->max_attempts;
  return true;
}

bool TermsParser::ResolveService() {
  parsed_.service = world::FindService(fleet_, NamedService(request_.headers));
  if (parsed_.service == nullptr) {
    return Refuse(Reason::kUnknownService, "no such service is in force");
  }
  if (!Identify(nullptr, parsed_.service->is_public)) {
    return false;
  }
  parsed_.terms =
      world::TermsFor(*parsed_.service, request_.method, PathOf(request_.uri));
  parsed_.kind = parsed_.service->name.value;
  parsed_.objective = parsed_.service->objective
                          ? parsed_.service->objective->within
                          : parsed_.terms.deadline;
  parsed_.max_attempts = parsed_.service->retry.max_attempts;
  parsed_.priority = PriorityOr(0);
  return true;
}

// Identifies the caller's workspace. Returns false if the request needs one.
bool TermsParser::Identify(const world::Route* route, bool is_public) {
  const CallerIdentity caller =
      IdentifyCaller(request_.headers, keys_, is_public);
  if (!caller.accepted) {
    return Refuse(Reason::kUnauthorized, "no valid key of a workspace");
  }
  parsed_.workspace = caller.workspace;
  parsed_.regions = RegionsFor(route, caller.workspace);
  return true;
}

// Returns the priority of the caller's workspace, or `otherwise` if it has
// none.
uint32_t TermsParser::PriorityOr(uint32_t otherwise) const {
  return parsed_.workspace == nullptr
             ? otherwise
             : parsed_.workspace->priority.value_or(otherwise);
}

bool TermsParser::ReadKey() {
  if (!names_.send_ibis_headers) {
    return true;
  }
  if (const std::string* key = FindHeader(request_.headers, kKeyHeader)) {
    parsed_.key = *key;
  }
  if (parsed_.key.size() > kMaxKeyBytes) {
    return Refuse(Reason::kBadRequest, "the Idempotency-Key is too long");
  }
  if (parsed_.key.empty() && parsed_.terms.key == world::KeyRule::kRequired &&
      parsed_.terms.repeat == world::Repeat::kNever) {
    return Refuse(Reason::kKeyRequired,
                  "this request needs an Idempotency-Key");
  }
  if (!parsed_.key.empty() && parsed_.workspace != nullptr) {
    // Workspaces choose their idempotency keys independently.
    parsed_.key = parsed_.workspace->name + '\n' + parsed_.key;
  }
  return true;
}

// Returns the identity of the request: all that its target gets each time it
// comes again, the caller's service too, and path and body of the resource.
world::RequestIdentity TermsParser::IdentityOfRequest() const {
  const std::string host =
      fleet_.routes ? HostOf(request_.headers) : parsed_.service->name.value;
  const std::string workspace =
      parsed_.workspace == nullptr ? "" : parsed_.workspace->name + '\n';
  return {
      DigestOf(host + '\n' + caller_.value + '\n' + workspace +
               ToHex(parsed_.fingerprint)),
      DigestOf(PathOf(request_.uri) + '\n' + ToHex(DigestOf(request_.body)))};
}

}  // namespace

std::optional<CallerTerms> ParseTerms(const CallerRequest& request,
                                      const world::Fleet& fleet,
                                      const policy::WorkspaceKeys& keys,
                                      const HeaderNames& names,
                                      const ServiceName& caller,
                                      const PickService& pick,
                                      CallerRefusal& refusal) {
  return TermsParser(request, fleet, keys, names, caller, refusal).Parse(pick);
}

}  // namespace ibisvalve::dataplane

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dataplane/header_names.h"
#include "wire/wire.h"
#include "world/world.h"

struct evkeyvalq;

namespace ibisvalve::dataplane {

inline constexpr char kServiceHeader[] = "Ibis-Service";
inline constexpr char kDeadlineHeader[] = "Ibis-Deadline-Ms";
inline constexpr char kDepthHeader[] = "Ibis-Depth";
inline constexpr char kRetryHeader[] = "Ibis-Retry";
inline constexpr char kOutcomeHeader[] = "Ibis-Outcome";
inline constexpr char kReasonHeader[] = "Ibis-Reason";
inline constexpr char kAttemptsHeader[] = "Ibis-Attempts";
inline constexpr char kKeyHeader[] = "Idempotency-Key";
// Status of the first run of an idempotency key whose response is no longer
// stored.
inline constexpr char kFirstStatusHeader[] = "Ibis-First-Status";

/// Returns whether the header names `a` and `b` are equal, ignoring case.
bool HeaderNamesEqual(std::string_view a, std::string_view b);

/// Returns all entries of `headers` in their order.
wire::Headers AllHeaders(const evkeyvalq* headers);

/// Returns the value of the first header `name`, or null if there is none.
const std::string* FindHeader(const wire::Headers& headers,
                              std::string_view name);

/// Returns the end-to-end headers: removes hop-by-hop headers, Content-Length
/// and the headers that are reserved for nodes according to `names`.
wire::Headers EndToEndHeaders(const wire::Headers& headers,
                              const HeaderNames& names);

/// Returns the caller's request id, or an empty string if there is none.
std::string RequestIdOf(const wire::Headers& headers, const HeaderNames& names);

/// Parses an unsigned decimal integer. Returns nothing if `text` contains
/// anything else or the number exceeds 64 bits.
std::optional<uint64_t> ParseNumber(std::string_view text);

/// Returns why a request must be refused because its framing is ambiguous or it
/// does not have exactly one Host header; an empty string if it is valid. Two
/// HTTP parsers may read an ambiguous request differently, which allows request
/// smuggling.
std::string FindFramingError(const wire::Headers& headers);

/// Returns the HTTP status for a request that ended without a response of a
/// target.
int HttpStatusFor(world::Outcome outcome, world::Reason reason);

}  // namespace ibisvalve::dataplane

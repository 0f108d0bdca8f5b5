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
// Status of the first run of a key whose answer is no longer kept.
inline constexpr char kFirstStatusHeader[] = "Ibis-First-Status";

/// Returns whether `a` and `b` are the same name of a header.
bool SameName(std::string_view a, std::string_view b);

/// Returns every header of `headers` in order.
wire::Headers AllHeaders(const evkeyvalq* headers);

/// Returns the value of the first header called `name`, or null.
const std::string* FindHeader(const wire::Headers& headers,
                              std::string_view name);

/// Returns the headers that travel from end to end: without those of one
/// connection, without Content-Length and without this system's own, which
/// `names` tells.
wire::Headers EndToEnd(const wire::Headers& headers, const HeaderNames& names);

/// Returns the id that the caller gave its request, or an empty string.
std::string RequestIdOf(const wire::Headers& headers, const HeaderNames& names);

/// Parses a whole decimal number without sign; nothing where it is not one.
std::optional<uint64_t> ParseNumber(std::string_view text);

/// Returns why the framing of a request is ambiguous or its Host is missing,
/// or an empty string. Such a request could be smuggled past one of two
/// parsers, so it is refused.
std::string FramingFault(const wire::Headers& headers);

/// Returns the HTTP status for a request that got no answer.
int StatusFor(world::Outcome outcome, world::Reason reason);

}  // namespace ibisvalve::dataplane

#include "dataplane/http_headers.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace ibisvalve::dataplane {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
    "Content-Length"};

constexpr std::string_view kReservedPrefix = "Ibis-";

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// Returns whether the comma-separated `list` contains `name`, ignoring case.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (HeaderNamesEqual(Trim(list.substr(0, comma)), name)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool IsHopByHop(const wire::Headers& headers, std::string_view name) {
  if (std::any_of(
          kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
          [&](std::string_view own) { return HeaderNamesEqual(own, name); })) {
    return true;
  }
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
    return HeaderNamesEqual(header.first, "Connection") &&
           ListContains(header.second, name);
  });
}

// Returns whether the header is reserved for nodes, which set it themselves or
// are the only ones to read it.
bool IsReserved(std::string_view name, const HeaderNames& names) {
  const auto is = [name](const std::string& own) {
    return !own.empty() && HeaderNamesEqual(name, own);
  };
  return HeaderNamesEqual(name.substr(0, kReservedPrefix.size()),
                          kReservedPrefix) ||
         is(names.deadline) || is(names.caller) || is(names.target) ||
         is(names.load) || is(names.not_run);
}

size_t Count(const wire::Headers& headers, std::string_view name) {
  return static_cast<size_t>(
      std::count_if(headers.begin(), headers.end(), [&](const auto& header) {
        return HeaderNamesEqual(header.first, name);
      }));
}

}  // namespace

bool HeaderNamesEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

wire::Headers AllHeaders(const evkeyvalq* headers) {
  wire::Headers all;
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    all.emplace_back(header->key, header->value);
  }
  return all;
}

const std::string* FindHeader(const wire::Headers& headers,
                              std::string_view name) {
  const auto found = std::find_if(
      headers.begin(), headers.end(),
      [&](const auto& header) { return HeaderNamesEqual(header.first, name); });
  return found == headers.end() ? nullptr : &found->second;
}

wire::Headers EndToEndHeaders(const wire::Headers& headers,
                              const HeaderNames& names) {
  wire::Headers end_to_end;
  for (const auto& [name, value] : headers) {
    if (!IsReserved(name, names) && !IsHopByHop(headers, name)) {
      end_to_end.emplace_back(name, value);
    }
  }
  return end_to_end;
}

std::string RequestIdOf(const wire::Headers& headers,
                        const HeaderNames& names) {
  const std::string* id = names.request_id.empty()
                              ? nullptr
                              : FindHeader(headers, names.request_id);
  return id == nullptr ? "" : *id;
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::string FindFramingError(const wire::Headers& headers) {
  if (Count(headers, "Host") != 1) {
    return "a request has exactly one Host header";
  }
  const std::string* length = FindHeader(headers, "Content-Length");
  if (Count(headers, "Content-Length") > 1) {
    return "Content-Length is there more than once";
  }
  if (length != nullptr && !ParseNumber(*length)) {
    return "Content-Length is not a number";
  }
  const std::string* coding = FindHeader(headers, "Transfer-Encoding");
  if (coding != nullptr &&
      (length != nullptr || Count(headers, "Transfer-Encoding") > 1 ||
       !HeaderNamesEqual(*coding, "chunked"))) {
    return "Transfer-Encoding is ambiguous";
  }
  return "";
}

int HttpStatusFor(world::Outcome outcome, world::Reason reason) {
  using world::Reason;
  if (outcome == world::Outcome::kUnknown) {
    return reason == Reason::kDeadline ? 504 : 502;
  }
  switch (reason) {
    case Reason::kUnknownService:
    case Reason::kNoRoute:
      return 404;
    case Reason::kTooLarge:
      return 413;
    case Reason::kUnauthorized:
      return 401;
    case Reason::kQuota:
      return 429;
    case Reason::kKeyMismatch:
      return 422;
    case Reason::kKeyRequired:
    case Reason::kBadRequest:
      return 400;
    default:
      return 503;
  }
}

}  // namespace ibisvalve::dataplane

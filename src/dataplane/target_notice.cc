#include "dataplane/target_notice.h"

#include <charconv>
#include <cmath>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

constexpr char kLeaving[] = "1";
constexpr double kMaxColdMs = 24 * 3600 * 1000.0;

std::optional<double> ParseRate(std::string_view text) {
  double rate = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, rate);
  const bool valid =
      error == std::errc() && stop == end && std::isfinite(rate) && rate >= 0;
  return valid ? std::optional<double>(rate) : std::nullopt;
}

const std::string* FindNamed(const wire::Headers& headers,
                             const std::string& name) {
  return name.empty() ? nullptr : FindHeader(headers, name);
}

}  // namespace

TargetNotice ParseTargetNotice(const wire::Headers& headers,
                               const HeaderNames& names) {
  TargetNotice notice;
  if (const std::string* rate = FindNamed(headers, names.rate_limit)) {
    notice.rate_limit = ParseRate(*rate);
  }
  if (const std::string* cold = FindNamed(headers, names.cold_left)) {
    const std::optional<double> left_ms = ParseRate(*cold);
    if (left_ms && *left_ms <= kMaxColdMs) {
      notice.cold_left = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(*left_ms));
    }
  }
  const std::string* leaving = FindNamed(headers, names.leaving);
  notice.leaving = leaving != nullptr && *leaving == kLeaving;
  return notice;
}

}  // namespace ibisvalve::dataplane

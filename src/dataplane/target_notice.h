#pragma once

#include <compare>
#include <optional>

#include "base/base.h"
#include "dataplane/header_names.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// What a target tells about itself with a response.
struct TargetNotice {
  // Requests a second that it takes from all hosts together; nullopt: no limit.
  std::optional<double> rate_limit;
  bool leaving = false;  // it takes no further requests
  // How long it stays cold; nullopt: not told.
  std::optional<Duration> cold_left;

  auto operator<=>(const TargetNotice&) const = default;
};

/// Parses the notice in the headers of a response. A limit that is not a finite
/// decimal number of at least 0 counts as none, and so does a time for which it
/// stays cold of over a day.
TargetNotice ParseTargetNotice(const wire::Headers& headers,
                               const HeaderNames& names);

}  // namespace ibisvalve::dataplane

#pragma once

#include <optional>
#include <string>

#include "ctl/burn_command.h"

namespace ibisvalve::ctl {

/// Returns the objective in the form "99% in 100ms", or "" for none.
std::string FormatObjective(const std::optional<world::Objective>& objective);
/// Returns the burn rate with two decimals, or "" if there is no objective or
/// no burn rate.
std::string FormatBurn(const observe::BurnWindow& window,
                       const std::optional<world::Objective>& objective);
/// Returns the remaining error budget in percent with one decimal, or "" if
/// there is no objective or no burn rate.
std::string FormatBudget(const observe::BurnWindow& window,
                         const std::optional<world::Objective>& objective);
/// Returns `latency` in milliseconds with one decimal, or "" for 0.
std::string FormatLatency(Duration latency);

/// Returns `burn` as a self-contained HTML page with tables and inline SVG
/// plots.
std::string RenderBurnPage(const FleetBurn& burn);

}  // namespace ibisvalve::ctl

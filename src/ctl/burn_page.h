#pragma once

#include <optional>
#include <string>

#include "ctl/burn_command.h"

namespace ibisvalve::ctl {

/// Returns "99% in 100ms", or "" for none.
std::string FormatObjective(const std::optional<world::Objective>& objective);
/// Returns the burn rate with two digits, or "" without requests.
std::string FormatBurn(const observe::BurnWindow& window,
                       const std::optional<world::Objective>& objective);
/// Returns the share of the budget that is left in percent, or "".
std::string FormatBudget(const observe::BurnWindow& window,
                         const std::optional<world::Objective>& objective);
/// Returns a latency in milliseconds with one digit, or "" for none.
std::string FormatLatency(Duration latency);

/// Returns `burn` as one HTML page that needs no other file: tables, and plots
/// as inline SVG.
std::string RenderBurnPage(const FleetBurn& burn);

}  // namespace ibisvalve::ctl

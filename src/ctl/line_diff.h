#pragma once

#include <string>

namespace ibisvalve::ctl {

/// Returns the lines that differ between two texts. Removed lines start with
/// "-" and their line number in `before`, added lines with "+" and their line
/// number in `after`. Returns "" if all lines are equal.
std::string DiffLines(const std::string& before, const std::string& after);

}  // namespace ibisvalve::ctl

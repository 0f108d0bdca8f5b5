#pragma once

#include <string>

namespace ibisvalve::ctl {

/// Returns the lines that differ between two texts: removed ones behind "-",
/// added ones behind "+", with the number of the line in its own text. Empty
/// when the texts are the same.
std::string DiffLines(const std::string& before, const std::string& after);

}  // namespace ibisvalve::ctl

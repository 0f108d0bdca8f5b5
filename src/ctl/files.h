#pragma once

#include <string>

namespace ibisvalve::ctl {

/// Returns the content of the file `name`. Throws CommandError (kUsage) where
/// it cannot be read.
std::string ReadFile(const std::string& name);

/// Writes `text` to the file `name`, which is replaced. Throws CommandError
/// (kRefused) where that fails.
void WriteFile(const std::string& name, const std::string& text);

}  // namespace ibisvalve::ctl

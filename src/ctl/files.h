#pragma once

#include <string>

namespace ibisvalve::ctl {

/// Returns the content of the file `name`. Throws CommandError (kUsage) if it
/// cannot be read.
std::string ReadFile(const std::string& name);

/// Writes `text` to the file `name` and replaces its previous content. Throws
/// CommandError (kRefused) on failure.
void WriteFile(const std::string& name, const std::string& text);

}  // namespace ibisvalve::ctl

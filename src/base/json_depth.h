#pragma once

#include <cstddef>
#include <string_view>

namespace ibisvalve {

/// Nesting up to which JSON from outside is copied and written. Far above that
/// of any message of this project, and far below what ends a process, as the
/// JSON library copies and writes values by recursion.
inline constexpr size_t kMaxJsonDepth = 100;

/// Returns the greatest number of arrays and objects in `text` that lie within
/// each other. The text need not be valid JSON; brackets in strings are not
/// counted.
size_t JsonDepth(std::string_view text);

}  // namespace ibisvalve

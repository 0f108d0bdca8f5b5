#include "base/json_depth.h"

#include <algorithm>

namespace ibisvalve {

size_t JsonDepth(std::string_view text) {
  size_t depth = 0;
  size_t greatest = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      if (character == '\\') {
        ++i;  // the escaped character
      } else if (character == '"') {
        in_string = false;
      }
      continue;
    }
    if (character == '"') {
      in_string = true;
    } else if (character == '[' || character == '{') {
      greatest = std::max(greatest, ++depth);
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return greatest;
}

}  // namespace ibisvalve

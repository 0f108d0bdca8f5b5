#pragma once

#include <string>
#include <string_view>

namespace ibisvalve::control {

/// Encodes the text of a file for transfer: compressed, and as the difference
/// from `base` where the two have parts in common. The receiver must have the
/// same `base`, which may be empty.
std::string EncodeText(std::string_view text, std::string_view base);

/// Decodes the result of EncodeText with the same `base`. Throws WireError if
/// `encoded` is malformed or the text is longer than a file may be. With
/// another base the result is another text, so check its digest.
std::string DecodeText(std::string_view encoded, std::string_view base);

}  // namespace ibisvalve::control

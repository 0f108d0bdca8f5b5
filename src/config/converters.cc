#include "config/converters.h"

#include <algorithm>

namespace ibisvalve::config {
namespace {

constexpr size_t kMaxNameLength = 64;

std::string Quoted(const std::string& text) {
  return "\"" + text.substr(0, kMaxNameLength) + "\"";
}

// Formats `number` in decimal without trailing zeros, such as "0.5".
std::string FormatNumber(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

// Returns a converter that parses a scalar with `parse` and rejects values
// outside [low, high]. `format` prints the bounds for messages; `kind` and
// `example` describe the expected value in the advice of a finding.
template <typename T, typename Parse, typename Format>
Converter<T> MakeRangeConverter(const std::string& kind,
                                const std::string& example,
                                Parse parse,
                                Format format,
                                T low,
                                T high) {
  return [=](const YamlValue& value) -> std::optional<T> {
    const std::string range = "from " + format(low) + " to " + format(high);
    const std::string expected = kind + " such as " + example + ", " + range;
    const std::optional<std::string> text = value.Scalar(expected);
    if (!text) {
      return std::nullopt;
    }
    const std::optional<T> parsed = parse(*text);
    if (!parsed) {
      const bool bare = ParseNumber(*text).has_value();
      const std::string problem =
          bare ? Quoted(*text) + " has no unit or cannot be represented"
               : Quoted(*text) + " is not " + kind;
      value.Report(problem, "write " + expected);
      return std::nullopt;
    }
    if (*parsed < low || *parsed > high) {
      value.Report(Quoted(*text) + " is out of range",
                   "write " + kind + " " + range);
      return std::nullopt;
    }
    return parsed;
  };
}

bool IsNameCharacter(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
         letter == '.';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter) &&
         text.front() != '-' && text.front() != '.';
}

bool IsPathCharacter(char letter) {
  return letter > ' ' && letter < '\x7f' && letter != '?' && letter != '#';
}

}  // namespace

Converter<Duration> DurationBetween(Duration low, Duration high) {
  return MakeRangeConverter<Duration>(
      "a duration with its unit (us, ms, s, m, h, d)",
      FormatDuration(
          std::clamp<Duration>(std::chrono::milliseconds(250), low, high)),
      ParseDuration, FormatDuration, low, high);
}

Converter<uint64_t> SizeBetween(uint64_t low, uint64_t high) {
  constexpr uint64_t kExample = 64 << 10;
  return MakeRangeConverter<uint64_t>(
      "a size with its unit (B, KiB, MiB, GiB)",
      FormatSize(std::clamp(kExample, low, high)), ParseSize, FormatSize, low,
      high);
}

Converter<double> ShareBetween(double low, double high) {
  constexpr double kExample = 0.8;
  return MakeRangeConverter<double>(
      "a share in percent", FormatShare(std::clamp(kExample, low, high)),
      ParseShare, FormatShare, low, high);
}

Converter<double> NumberBetween(double low, double high) {
  return MakeRangeConverter<double>("a number",
                                    FormatNumber(std::clamp(2.0, low, high)),
                                    ParseNumber, FormatNumber, low, high);
}

Converter<uint32_t> IntegerBetween(uint32_t low, uint32_t high) {
  const auto parse = [](const std::string& text) -> std::optional<uint32_t> {
    const std::optional<uint64_t> number = ParseUnsigned(text);
    if (!number) {
      return std::nullopt;
    }
    // Larger numbers saturate. They are still out of range if `high` is less
    // than UINT32_MAX.
    return static_cast<uint32_t>(std::min<uint64_t>(*number, UINT32_MAX));
  };
  const auto format = [](uint32_t number) { return std::to_string(number); };
  return MakeRangeConverter<uint32_t>("a whole number",
                                      std::to_string(std::clamp(3U, low, high)),
                                      parse, format, low, high);
}

Converter<bool> Boolean() {
  return OneOf<bool>({{"true", true}, {"false", false}});
}

Converter<std::string> UriPath() {
  return [](const YamlValue& value) -> std::optional<std::string> {
    std::optional<std::string> text = value.Scalar("a path such as /");
    if (!text) {
      return std::nullopt;
    }
    if (text->empty() || text->front() != '/' ||
        !std::all_of(text->begin(), text->end(), IsPathCharacter)) {
      value.Report(Quoted(*text) + " is not the path of a URI",
                   "write a path that starts with / and has no spaces, ? or #");
      return std::nullopt;
    }
    return text;
  };
}

Converter<std::string> NonEmptyText() {
  return [](const YamlValue& value) -> std::optional<std::string> {
    std::optional<std::string> text = value.Scalar("a non-empty string");
    if (text && text->empty()) {
      value.Report("is empty", "write a non-empty string");
      return std::nullopt;
    }
    return text;
  };
}

Converter<world::Endpoint> Address(bool fixed_port) {
  return [=](const YamlValue& value) -> std::optional<world::Endpoint> {
    const std::string expected = "an IP address and port such as 10.0.0.7:7000";
    const std::optional<std::string> text = value.Scalar(expected);
    if (!text) {
      return std::nullopt;
    }
    std::optional<world::Endpoint> endpoint = world::ParseEndpoint(*text);
    if (!endpoint) {
      value.Report(Quoted(*text) + " is not an IP address and port",
                   "write " + expected + "; host names are not supported");
      return std::nullopt;
    }
    if (fixed_port && endpoint->port == 0) {
      value.Report("port 0 is not a valid port here",
                   "write the port on which that process listens");
      return std::nullopt;
    }
    return endpoint;
  };
}

Converter<std::string> NameText() {
  return [](const YamlValue& value) -> std::optional<std::string> {
    std::optional<std::string> text = value.Scalar("a name");
    if (text && !IsName(*text)) {
      value.Report(Quoted(*text) + " is not a name",
                   "write 1 to 64 letters, digits, '-', '_' or '.', not "
                   "starting with '-' or '.'");
      return std::nullopt;
    }
    return text;
  };
}

void ReportUnknownWord(const YamlValue& value,
                       const std::string& word,
                       const std::vector<std::string>& known) {
  std::string list;
  for (const std::string& name : known) {
    list += (list.empty() ? "" : ", ") + name;
  }
  const std::optional<std::string> nearest = NearestWord(word, known);
  value.Report(Quoted(word) + " is not one of: " + list,
               "write " + nearest.value_or("one of these"));
}

}  // namespace ibisvalve::config

#include "config/yaml_document.h"

#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <sstream>
#include <tuple>

#include "config/units.h"

namespace ibisvalve::config {
namespace {

constexpr size_t kMaxFileBytes = 1 << 20;
// Longer values are truncated in messages.
constexpr size_t kMaxShownCharacters = 60;

// Returns `text` for use in a one-line message: truncated, and with control
// characters replaced by '?'.
std::string TextForMessage(const std::string& text) {
  std::string shown;
  for (const char letter : text.substr(0, kMaxShownCharacters)) {
    const bool control = static_cast<unsigned char>(letter) < ' ';
    shown += control ? '?' : letter;
  }
  return text.size() > kMaxShownCharacters ? shown + "..." : shown;
}

std::string DescribeNode(const YAML::Node& node) {
  switch (node.Type()) {
    case YAML::NodeType::Map:
      return "a map";
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Scalar:
      return "\"" + TextForMessage(node.Scalar()) + "\"";
    default:
      return "empty";
  }
}

// Discards all parser events.
class DiscardingEventHandler : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark&,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark&,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}
};

// Returns whether `text` holds exactly one document. Parses at most two,
// because YAML::LoadAll never returns if it meets a stray comma, which it reads
// as an endless series of empty documents.
bool HoldsOneDocument(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  DiscardingEventHandler ignore;
  return parser.HandleNextDocument(ignore) &&
         !parser.HandleNextDocument(ignore);
}

}  // namespace

void FindingList::Add(const YAML::Mark& mark,
                      const std::string& path,
                      const std::string& problem,
                      const std::string& advice) {
  findings_.push_back(Finding{
      Place{file_, mark.line + 1, mark.column + 1, path}, problem, advice});
}

void FindingList::ThrowIfAny() {
  if (findings_.empty()) {
    return;
  }
  std::stable_sort(findings_.begin(), findings_.end(),
                   [](const Finding& one, const Finding& other) {
                     return std::tie(one.place.line, one.place.column) <
                            std::tie(other.place.line, other.place.column);
                   });
  throw InvalidInput(findings_);
}

YamlValue::YamlValue(const YAML::Node& node,
                     const YAML::Mark& mark,
                     std::string path,
                     FindingList& findings)
    : node_(node), mark_(mark), path_(std::move(path)), findings_(&findings) {}

void YamlValue::Report(const std::string& problem,
                       const std::string& advice) const {
  findings_->Add(mark_, path_, problem, advice);
}

std::optional<std::string> YamlValue::Scalar(
    const std::string& expected) const {
  if (node_.IsScalar()) {
    return node_.Scalar();
  }
  Report("is " + DescribeNode(node_), "write " + expected);
  return std::nullopt;
}

std::vector<YamlValue> YamlValue::Items() const {
  std::vector<YamlValue> items;
  if (!node_.IsSequence()) {
    Report("is " + DescribeNode(node_), "write a list");
    return items;
  }
  for (const YAML::Node& item : node_) {
    const YAML::Mark mark = item.Mark().is_null() ? mark_ : item.Mark();
    items.emplace_back(item, mark,
                       path_ + "[" + std::to_string(items.size()) + "]",
                       *findings_);
  }
  return items;
}

YamlMap::YamlMap(const YamlValue& value)
    : self_(value), valid_(value.node_.IsMap()) {
  if (!valid_) {
    value.Report("is " + DescribeNode(value.node_), "write a map");
    return;
  }
  for (const auto& pair : value.node_) {
    Add(pair.first, pair.second);
  }
}

void YamlMap::Add(const YAML::Node& key, const YAML::Node& value) {
  const YAML::Mark mark = key.Mark().is_null() ? self_.mark_ : key.Mark();
  if (!key.IsScalar()) {
    self_.findings_->Add(mark, self_.path_, "a key is " + DescribeNode(key),
                         "write a scalar as the key");
    return;
  }
  const std::string& name = key.Scalar();
  if (FindEntry(name) != nullptr) {
    self_.findings_->Add(mark, PathOf(name), "the key is defined twice",
                         "remove one of them");
    return;
  }
  const bool placed = !value.Mark().is_null() && !value.IsNull();
  entries_.push_back(Entry{name, mark,
                           YamlValue(value, placed ? value.Mark() : mark,
                                     PathOf(name), *self_.findings_)});
}

std::optional<YamlValue> YamlMap::Find(const std::string& key) {
  if (std::find(known_keys_.begin(), known_keys_.end(), key) ==
      known_keys_.end()) {
    known_keys_.push_back(key);
  }
  const Entry* entry = FindEntry(key);
  return entry == nullptr ? std::nullopt : std::optional(entry->value);
}

void YamlMap::ReadList(const std::string& key,
                       bool required,
                       const std::string& example,
                       const std::function<void(const YamlValue&)>& read) {
  const std::optional<YamlValue> value = Find(key);
  if (!value) {
    if (required) {
      ReportMissing(key, example);
    }
    return;
  }
  const size_t faults = self_.findings_->size();
  const std::vector<YamlValue> items = value->Items();
  if (required && items.empty() && faults == self_.findings_->size()) {
    value->Report("is an empty list", "write at least one item: " + example);
  }
  for (const YamlValue& item : items) {
    read(item);
  }
}

void YamlMap::ReadMap(const std::string& key,
                      const std::function<void(YamlMap&)>& read) {
  const std::optional<YamlValue> value = Find(key);
  if (!value) {
    return;
  }
  YamlMap map(*value);
  if (map.valid()) {
    read(map);
    map.ReportUnknownKeys();
  }
}

void YamlMap::ReadEach(
    const std::function<void(const std::string& key, const YamlValue& value)>&
        read) {
  for (const Entry& entry : entries_) {
    known_keys_.push_back(entry.key);
    read(entry.key, entry.value);
  }
}

void YamlMap::ReportAt(const std::string& key,
                       const std::string& problem,
                       const std::string& advice) const {
  const Entry* entry = FindEntry(key);
  if (entry == nullptr) {
    self_.Report(problem, advice);
  } else {
    entry->value.Report(problem, advice);
  }
}

void YamlMap::ReportUnknownKeys() const {
  for (const Entry& entry : entries_) {
    if (std::find(known_keys_.begin(), known_keys_.end(), entry.key) !=
        known_keys_.end()) {
      continue;
    }
    const std::optional<std::string> nearest =
        NearestWord(entry.key, known_keys_);
    std::string advice;
    if (nearest) {
      advice = "write \"" + *nearest + "\"";
    } else {
      advice = "known here:";
      for (const std::string& known : known_keys_) {
        advice += " " + known;
      }
    }
    self_.findings_->Add(entry.mark, PathOf(entry.key), "unknown key", advice);
  }
}

void YamlMap::ReportMissing(const std::string& key,
                            const std::string& example) const {
  self_.Report("\"" + key + "\" is missing", "write \"" + example + "\"");
}

const YamlMap::Entry* YamlMap::FindEntry(const std::string& key) const {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const Entry& entry) { return entry.key == key; });
  return found == entries_.end() ? nullptr : &*found;
}

std::string YamlMap::PathOf(const std::string& key) const {
  const std::string shown = TextForMessage(key);
  return self_.path_.empty() ? shown : self_.path_ + "." + shown;
}

std::optional<YamlValue> LoadDocument(const std::string& text,
                                      FindingList& findings) {
  const YAML::Mark start;
  if (text.size() > kMaxFileBytes) {
    findings.Add(start, "", "the file is longer than 1MiB",
                 "write a shorter file");
    return std::nullopt;
  }
  try {
    if (HoldsOneDocument(text)) {
      return YamlValue(YAML::Load(text), start, "", findings);
    }
    findings.Add(start, "",
                 "the file does not contain exactly one YAML document",
                 "write exactly one, without a stray comma or bracket");
  } catch (const YAML::Exception& error) {
    const YAML::Mark mark = error.mark.is_null() ? start : error.mark;
    findings.Add(mark, "", "is not valid YAML: " + error.msg,
                 "check the indentation, quotes and brackets here");
  }
  return std::nullopt;
}

}  // namespace ibisvalve::config

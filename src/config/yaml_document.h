#pragma once

#include <yaml-cpp/yaml.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"

namespace ibisvalve::config {

/// Collects the findings for one file.
class FindingList {
 public:
  explicit FindingList(std::string file) : file_(std::move(file)) {}

  /// Adds a finding at `mark`, whose line and column count from 0.
  void Add(const YAML::Mark& mark,
           const std::string& path,
           const std::string& problem,
           const std::string& advice);
  /// Throws InvalidInput with all findings in file order, if there are any.
  void ThrowIfAny();
  /// Returns the number of findings so far.
  size_t size() const { return findings_.size(); }

 private:
  std::string file_;
  std::vector<Finding> findings_;
};

/// Value of a YAML document, with its place in the file. Reports errors to
/// `findings`, which must outlive it.
class YamlValue {
 public:
  YamlValue(const YAML::Node& node,
            const YAML::Mark& mark,
            std::string path,
            FindingList& findings);

  /// Reports a finding at this value.
  void Report(const std::string& problem, const std::string& advice) const;
  /// Returns the text of a scalar. Reports a finding and returns nothing if the
  /// value is not a scalar; `expected` describes the value to write instead.
  std::optional<std::string> Scalar(const std::string& expected) const;
  /// Returns the items of a list. Reports a finding and returns no items if the
  /// value is not a list.
  std::vector<YamlValue> Items() const;
  const std::string& path() const { return path_; }
  const YAML::Mark& mark() const { return mark_; }

 private:
  friend class YamlMap;

  YAML::Node node_;
  YAML::Mark mark_;
  std::string path_;
  FindingList* findings_;
};

/// Reads the keys of one YAML map. A key that has not been looked up before
/// ReportUnknownKeys is called is unknown.
class YamlMap {
 public:
  /// Reports a finding if `value` is not a map, and one for each key that is
  /// not a scalar or is defined twice.
  explicit YamlMap(const YamlValue& value);

  /// Returns the value of `key`, or nothing if the key is absent. Marks the key
  /// as known.
  std::optional<YamlValue> Find(const std::string& key);
  /// Reads `key` into `out` by `convert`, which reports a finding and returns
  /// nothing if the value is invalid. Returns whether `out` was set.
  template <typename T, typename Convert>
  bool Read(const std::string& key, const Convert& convert, T& out) {
    const std::optional<YamlValue> value = Find(key);
    if (!value) {
      return false;
    }
    auto converted = convert(*value);
    if (!converted) {
      return false;
    }
    out = std::move(*converted);
    return true;
  }
  /// Reads `key` as Read does, and reports a finding if the key is absent.
  /// `example` shows what to write.
  template <typename T, typename Convert>
  bool Require(const std::string& key,
               const std::string& example,
               const Convert& convert,
               T& out) {
    if (!Find(key)) {
      ReportMissing(key, example);
      return false;
    }
    return Read(key, convert, out);
  }
  /// Calls `read` with each item of the list `key`. With `required`, reports a
  /// finding if the list is absent or empty; `example` shows what to write.
  void ReadList(const std::string& key,
                bool required,
                const std::string& example,
                const std::function<void(const YamlValue&)>& read);
  /// Calls `read` with the map `key`, if present, then reports its unknown
  /// keys.
  void ReadMap(const std::string& key,
               const std::function<void(YamlMap&)>& read);
  /// Calls `read` with each key and value of this map, and marks all keys as
  /// known.
  void ReadEach(const std::function<void(const std::string& key,
                                         const YamlValue& value)>& read);
  /// Reports a finding at `key`, or at the map if the key is absent.
  void ReportAt(const std::string& key,
                const std::string& problem,
                const std::string& advice) const;
  /// Reports a finding for each key that has not been looked up.
  void ReportUnknownKeys() const;
  /// Returns whether the value is a map.
  bool valid() const { return valid_; }

 private:
  struct Entry {
    std::string key;
    YAML::Mark mark;
    YamlValue value;
  };

  void Add(const YAML::Node& key, const YAML::Node& value);
  void ReportMissing(const std::string& key, const std::string& example) const;
  const Entry* FindEntry(const std::string& key) const;
  std::string PathOf(const std::string& key) const;

  YamlValue self_;
  bool valid_ = false;
  std::vector<Entry> entries_;
  std::vector<std::string> known_keys_;
};

/// Parses `text`, which must hold exactly one YAML document of at most 1 MiB.
/// Otherwise adds a finding and returns nothing.
std::optional<YamlValue> LoadDocument(const std::string& text,
                                      FindingList& findings);

}  // namespace ibisvalve::config

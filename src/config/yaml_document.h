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

/// Collects what is wrong with one file.
class FindingList {
 public:
  explicit FindingList(std::string file) : file_(std::move(file)) {}

  /// Adds a fault at `mark` (which counts from 0) of the file.
  void Add(const YAML::Mark& mark,
           const std::string& path,
           const std::string& problem,
           const std::string& advice);
  /// Throws InvalidInput with all faults in file order, if there are any.
  void ThrowIfAny();
  /// Returns how many faults there are so far.
  size_t size() const { return findings_.size(); }

 private:
  std::string file_;
  std::vector<Finding> findings_;
};

/// One value of a YAML document, with its place. Faults go to `findings`,
/// which must outlive it.
class YamlValue {
 public:
  YamlValue(const YAML::Node& node,
            const YAML::Mark& mark,
            std::string path,
            FindingList& findings);

  /// Reports a fault at this value.
  void Report(const std::string& problem, const std::string& advice) const;
  /// Returns the text of a scalar; reports and returns nothing when it is
  /// another kind of value. `expected` says what to write instead.
  std::optional<std::string> Scalar(const std::string& expected) const;
  /// Returns the items of a list; reports when it is none.
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

/// Reads the keys of one YAML map. Whatever is not read by the time of Finish
/// is an unknown key.
class YamlMap {
 public:
  /// Reports when `value` is no map, and keys that stand twice.
  explicit YamlMap(const YamlValue& value);

  /// Returns the value of `key`, or nothing when it is absent. The key is
  /// known from now on.
  std::optional<YamlValue> Find(const std::string& key);
  /// Reads `key` into `out` by `convert`, which reports faults itself and
  /// returns nothing then. Returns whether `out` was set.
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
  /// Reads `key` as Read does; an absent key is a fault, and `example` shows
  /// what to write.
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
  /// Calls `read` with each item of the list `key`; `required` asks for at
  /// least one. `example` shows one item.
  void ReadList(const std::string& key,
                bool required,
                const std::string& example,
                const std::function<void(const YamlValue&)>& read);
  /// Calls `read` with the map `key`, if it is there, then checks that no key
  /// of it is unknown.
  void ReadMap(const std::string& key,
               const std::function<void(YamlMap&)>& read);
  /// Calls `read` with each key and value of this map, all of them known.
  void ReadEach(const std::function<void(const std::string& key,
                                         const YamlValue& value)>& read);
  /// Reports a fault at `key`, or at the map when the key is absent.
  void ReportAt(const std::string& key,
                const std::string& problem,
                const std::string& advice) const;
  /// Reports every key that was never asked for.
  void Finish() const;
  /// Returns whether the value was a map at all.
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
  std::vector<std::string> known_;
};

/// Loads the one document of `text`. Syntax faults go to `findings`; then the
/// result is empty.
std::optional<YamlValue> LoadDocument(const std::string& text,
                                      FindingList& findings);

}  // namespace ibisvalve::config

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace ibisvalve {

/// A string whose type says what it names. `Tag` keeps kinds apart.
template <typename Tag>
struct NamedId {
  std::string value;

  NamedId() = default;
  explicit NamedId(std::string text) : value(std::move(text)) {}
  auto operator<=>(const NamedId&) const = default;
  bool empty() const { return value.empty(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// A number whose type says what it counts.
template <typename Tag>
struct NumberId {
  uint64_t value = 0;

  NumberId() = default;
  explicit NumberId(uint64_t number) : value(number) {}
  auto operator<=>(const NumberId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// Name of a process of the system, from its settings; unique in the fleet.
using NodeId = NamedId<struct NodeIdTag>;
/// Name of a service, as in the configuration file.
using ServiceName = NamedId<struct ServiceNameTag>;
/// Name of an availability zone.
using ZoneName = NamedId<struct ZoneNameTag>;
/// Name of a region, a group of availability zones.
using RegionName = NamedId<struct RegionNameTag>;
/// Identity that an operator gives to one change, for sending it again.
using ChangeId = NamedId<struct ChangeIdTag>;

/// One run of a process: grows each time a process with the same id starts.
/// Processes with other ids may have the same one.
using Incarnation = NumberId<struct IncarnationTag>;
/// Number of an accepted configuration file; 0 means none yet.
using Revision = NumberId<struct RevisionTag>;
/// Digest of some bytes (XXH3, 64 bits). Not meant against forgery.
using Digest = NumberId<struct DigestTag>;

/// Identity of one attempt to run a request: unique in the fleet for good.
struct AttemptId {
  Incarnation ingress;   // the run of the ingress that made it
  uint64_t counter = 0;  // grows by one for each attempt of that run
  // Of the ingress's id: nodes may start with one incarnation.
  Digest node{};

  auto operator<=>(const AttemptId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ingress, counter, node);
  }
};

/// Returns a fresh incarnation: larger than any that this host handed out
/// before, as long as its wall clock has not been set back.
Incarnation NewIncarnation();

/// Returns the digest of `bytes`.
Digest DigestOf(const std::string& bytes);

/// Returns `digest` as 16 hexadecimal digits.
std::string ToHex(Digest digest);

/// Returns "ingress.counter" for logs.
std::string ToString(const AttemptId& id);

}  // namespace ibisvalve

template <typename Tag>
struct std::hash<ibisvalve::NamedId<Tag>> {
  size_t operator()(const ibisvalve::NamedId<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};

template <typename Tag>
struct std::hash<ibisvalve::NumberId<Tag>> {
  size_t operator()(const ibisvalve::NumberId<Tag>& id) const {
    return std::hash<uint64_t>()(id.value);
  }
};

template <>
struct std::hash<ibisvalve::AttemptId> {
  size_t operator()(const ibisvalve::AttemptId& id) const {
    return std::hash<uint64_t>()((id.ingress.value ^ id.node.value) *
                                     0x9E3779B97F4A7C15ULL +
                                 id.counter);
  }
};

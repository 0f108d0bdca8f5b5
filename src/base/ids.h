#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace ibisvalve {

/// Strongly typed string identifier; `Tag` makes each kind a distinct type.
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

/// Strongly typed numeric identifier; `Tag` makes each kind a distinct type.
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

/// Name of a process of the system, set in its settings; unique in the fleet.
using NodeId = NamedId<struct NodeIdTag>;
/// Name of a service, as in the configuration file.
using ServiceName = NamedId<struct ServiceNameTag>;
/// Name of an availability zone.
using ZoneName = NamedId<struct ZoneNameTag>;
/// Name of a region, a group of availability zones.
using RegionName = NamedId<struct RegionNameTag>;
/// Identifier that an operator assigns to a change, so that the change can be
/// submitted again safely.
using ChangeId = NamedId<struct ChangeIdTag>;

/// Identifies one run of a process. Increases each time a process with the same
/// NodeId starts; processes with different ids may have equal incarnations.
using Incarnation = NumberId<struct IncarnationTag>;
/// Number of an accepted configuration file; 0: none yet.
using Revision = NumberId<struct RevisionTag>;
/// 64-bit XXH3 digest. Not cryptographic: does not protect against forgery.
using Digest = NumberId<struct DigestTag>;

/// Identifies one attempt to run a request. Unique in the fleet; never reused.
struct AttemptId {
  Incarnation ingress;   // incarnation of the ingress that created it
  uint64_t counter = 0;  // increases by one with each attempt of that run
  // Digest of the ingress's NodeId, because different nodes may have equal
  // incarnations.
  Digest node{};

  auto operator<=>(const AttemptId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ingress, counter, node);
  }
};

/// Returns a new incarnation. It is larger than those this host returned in
/// earlier milliseconds, unless its wall clock has been set back.
Incarnation NewIncarnation();

/// Returns the XXH3 digest of `bytes`.
Digest DigestOf(const std::string& bytes);

/// Returns `digest` as 16 hexadecimal digits.
std::string ToHex(Digest digest);

/// Returns "ingress.counter" for logs, followed by ".node" (in hexadecimal) if
/// the node digest is set.
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

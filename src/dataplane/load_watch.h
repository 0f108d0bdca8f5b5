#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dataplane/node_plane.h"
#include "dataplane/target_client.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Knows how quick the target beside a gate is at the moment: by what it tells
/// of its host, by its runs, and by the link that brings requests to it.
class LoadWatch {
 public:
  struct Handlers {
    /// A probe ended, with or without an answer.
    std::function<void()> on_probed;
    /// The slowdown has changed so much that ingresses should know at once.
    std::function<void()> on_changed;
  };

  /// `client` may be null, where there is no target. References must outlive
  /// the object.
  LoadWatch(net::EventLoop& loop,
            const PlaneSettings& settings,
            TargetClient* client,
            Handlers handlers);

  /// Takes in what headers of the target tell of its load.
  void Note(const wire::Headers& headers);
  /// Sets where the target tells its load; empty: nowhere.
  void SetPath(const std::string& path) { path_ = path; }
  /// Asks the target for its load, unless it has told it since `since`. What
  /// it says of its health there decides nothing.
  void Probe(Time since);
  /// Returns whether a probe is under way.
  bool probing() const { return probe_ != nullptr; }
  /// Returns how often the target was asked.
  uint64_t probes() const { return probes_; }

  /// A run began that usually takes `usual_us` (0: not known).
  void BeginRun(const AttemptId& id, uint64_t usual_us);
  /// It ended; `whole` says that it went to its end at the target.
  void EndRun(const AttemptId& id, bool whole);
  /// `bytes` of a request have come from another host.
  void Received(uint64_t bytes);

  /// Returns how long a run takes that begins now and usually takes
  /// `usual_us`; 0 where that is not known.
  Duration Expected(uint64_t usual_us) const;
  /// Returns what the target last told of its host; 1 is usual, never less.
  double slowdown() const { return slowdown_; }
  /// Returns whether the target told of a host that is clearly slowed.
  bool IsSlowed() const;
  /// Returns how long ago the target told its load.
  Duration age() const;
  /// Writes what ingresses should know into `hint`.
  void Describe(wire::LoadHint& hint) const;

 private:
  void Notice();
  void EndProbe();

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  TargetClient* client_;
  Handlers handlers_;
  std::string path_;
  std::unique_ptr<TargetCall> probe_;
  net::Timer probe_timer_;
  uint64_t probes_ = 0;
  double slowdown_ = 1;
  Time told_{};
  double noticed_slowdown_ = 1;  // as ingresses were last told
  Time noticed_{};
  policy::PaceMeter pace_;
  policy::LinkMeter link_;
};

}  // namespace ibisvalve::dataplane

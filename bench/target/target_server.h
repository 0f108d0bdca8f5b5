#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "bench/common/run_log.h"
#include "bench/common/service_model.h"
#include "bench/target/run.h"
#include "net/net.h"
#include "world/world.h"

struct evhttp;
struct evhttp_request;

namespace ibisvalve::bench {

/// Settings of one fake target.
struct TargetSettings {
  world::Endpoint listen{"127.0.0.1", 0};
  std::string name;
  uint32_t slots = 1;  // requests run at once; the rest wait
  ServiceSettings service;
  bool fail_fast = false;  // refuse every request with 500 at once
  std::string crash_on;    // path that ends the process; empty: none
  std::string run_log;     // file; empty: none
  std::optional<world::Endpoint> announce;  // of the node beside it
  uint64_t seed = 1;
};

/// A worker of the brief, played: an HTTP server with slots and a queue.
class TargetServer {
 public:
  /// Listens and announces itself. Throws SystemError.
  TargetServer(net::EventLoop& loop, const TargetSettings& settings);
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  /// Returns where it listens.
  world::Endpoint local() const { return local_; }
  /// Announces that it is draining, and calls `done` when nothing runs.
  void Stop(std::function<void()> done);

 private:
  void Dispatch(evhttp_request* request);
  void ReplyHealth(evhttp_request* request);
  void Control(evhttp_request* request);
  void Enqueue(evhttp_request* request);
  void StartWaiting();
  void OnRunEnded(Run* run, const std::string& status);
  void SetState(const std::string& state);
  void Announce();
  void StopWhenIdle();

  net::EventLoop& loop_;
  TargetSettings settings_;
  ServiceModel model_;
  RunLog log_;
  evhttp* http_;
  world::Endpoint local_;
  std::string state_ = "ready";
  uint64_t announcement_ = 0;  // grows with each change of state
  net::Timer announce_timer_;
  net::Timer linger_timer_;
  std::map<Run*, std::unique_ptr<Run>> runs_;
  std::deque<Run*> waiting_;
  uint32_t in_flight_ = 0;
  std::function<void()> on_idle_;
};

}  // namespace ibisvalve::bench

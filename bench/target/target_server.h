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
  uint32_t slots = 1;  // concurrent runs; further requests are queued
  ServiceSettings service;
  bool fail_fast = false;  // answer every request with 500 immediately
  std::string crash_on;    // path whose run terminates the process; empty: none
  std::string run_log;     // file path; empty: no log
  std::optional<world::Endpoint> announce;  // admin address of the node
  uint64_t seed = 1;
};

/// A fake target: an HTTP server with a fixed number of slots, a queue and
/// simulated service times.
class TargetServer {
 public:
  /// Starts to listen and announces the target to its node. Throws SystemError
  /// if it cannot listen.
  TargetServer(net::EventLoop& loop, const TargetSettings& settings);
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  /// Returns the address that it listens on.
  world::Endpoint local() const { return local_; }
  /// Announces the state draining and calls `done` once no request is running.
  void Stop(std::function<void()> done);

 private:
  void Dispatch(evhttp_request* request);
  void ReplyHealth(evhttp_request* request);
  void Control(evhttp_request* request);
  void Enqueue(evhttp_request* request);
  void StartQueuedRuns();
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
  uint64_t announcement_ = 0;  // incremented at each change of state
  net::Timer announce_timer_;
  net::Timer response_flush_timer_;
  std::map<Run*, std::unique_ptr<Run>> runs_;
  std::deque<Run*> waiting_;
  uint32_t in_flight_ = 0;
  std::function<void()> on_idle_;
};

}  // namespace ibisvalve::bench

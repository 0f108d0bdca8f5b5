#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/load/connection_pool.h"
#include "bench/load/load_report.h"
#include "net/net.h"
#include "world/world.h"

struct evhttp_connection;
struct evhttp_request;

namespace ibisvalve::bench {

/// One kind of request and its share of the load.
struct RequestMix {
  std::string service;       // header Ibis-Service; empty: not sent
  double weight = 1;         // relative to the other kinds
  double booking_share = 0;  // POST /bookings with a key; rest: GET /rooms
};

/// Settings of one run of the load generator.
struct LoadSettings {
  std::vector<world::Endpoint> endpoints;  // used in round-robin order
  std::vector<RequestMix> mix = {RequestMix{}};
  double rate = 100;  // requests per second
  Duration duration = std::chrono::seconds(10);
  uint64_t max_requests = 1'000'000;
  Duration deadline = std::chrono::seconds(1);
  size_t connections = 200;  // maximum per endpoint
  uint64_t seed = 1;
  std::string name = "load";  // prefix of the request names
};

/// An open-loop load generator: sends requests at the times of a Poisson
/// schedule, regardless of the progress of earlier requests. A request without
/// a free connection is queued, and the queueing time counts as latency. Checks
/// that each response names its own request.
class LoadGenerator {
 public:
  /// Starts immediately. Calls `done` once with the report, after the last
  /// response, or at the latest some seconds after the deadline of the last
  /// request.
  LoadGenerator(net::EventLoop& loop,
                const LoadSettings& settings,
                std::function<void(const LoadReport&)> done);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

 private:
  struct Call;

  void SendDue();
  void ScheduleNext();
  void Send(std::unique_ptr<Call> call);
  void SendQueued();
  void OnResponse(Call* call, evhttp_request* request);
  bool MatchesRequest(const Call& call, evhttp_request* request) const;
  void ClassifyResponse(const Call& call, evhttp_request* request);
  const RequestMix& DrawMix();
  void Finish();

  net::EventLoop& loop_;
  LoadSettings settings_;
  std::function<void(const LoadReport&)> done_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<ConnectionPool>> pools_;
  std::vector<std::deque<std::unique_ptr<Call>>> waiting_;
  std::map<Call*, std::unique_ptr<Call>> in_flight_;
  net::Timer send_timer_;
  net::Timer waiting_timer_;
  net::Timer end_timer_;
  Time start_;
  Time next_;
  LoadReport report_;
  bool scheduled_all_ = false;
};

}  // namespace ibisvalve::bench

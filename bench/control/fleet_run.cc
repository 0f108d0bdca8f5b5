#include "bench/control/fleet_run.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "bench/control/measure.h"

namespace ibisvalve::bench {
namespace {

constexpr Duration kIdle = std::chrono::seconds(10);
constexpr Duration kClaiming = std::chrono::seconds(5);
constexpr Duration kInForceLimit = std::chrono::seconds(30);

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

}  // namespace

FleetRun::FleetRun(net::EventLoop& loop, const FleetRunSettings& settings)
    : loop_(loop), settings_(settings), base_memory_(ResidentBytes()) {
  for (size_t i = 0; i < settings_.nodes; ++i) {
    world::Member self;
    self.id = NodeId("node-" + std::to_string(i));
    self.incarnation = NewIncarnation();
    self.location.zone = ZoneName("zone");
    self.service = ServiceName("service");
    agents_.push_back(std::make_unique<control::NodeAgent>(
        loop_, settings_.keepers, self,
        control::NodeAgent::Handlers{
            [](const control::ConfigFile&) { return std::string(); },
            [](const control::ConfigFile&) {}, [](bool) {},
            [] { return std::string("{\"in_flight\":0}"); }}));
  }
}

void FleetRun::MeasureApplies() {
  std::vector<Duration> times;
  for (size_t i = 0; i < settings_.applies; ++i) {
    RunFor(loop_, std::chrono::milliseconds(300));
    const uint64_t base = ActiveRevision();
    std::string text =
        "file " + std::to_string(loop_.Now().time_since_epoch().count()) + "\n";
    text.resize(settings_.file_bytes, '#');
    const Time start = loop_.Now();
    const net::HttpResult answer =
        FetchAdmin(loop_, settings_.admins.front(), "POST",
                   "/apply?change=" + ToHex(DigestOf(text)) +
                       "&base=" + std::to_string(base),
                   text);
    if (answer.status != 200) {
      throw std::runtime_error("POST /apply failed: " + answer.body +
                               answer.error);
    }
    const uint64_t revision = nlohmann::json::parse(answer.body)["revision"];
    RunUntil(
        loop_, [&] { return AllActive(revision); }, kInForceLimit,
        "the revision to be active on all nodes");
    times.push_back(loop_.Now() - start);
  }
  std::printf("apply to in force, %zu nodes: median %.1f ms, worst %.1f ms\n",
              settings_.nodes, Millis(Quantile(times, 0.5)),
              Millis(Quantile(times, 1)));
}

void FleetRun::MeasureIdle() {
  const double bytes = ControlBytes();
  const Duration cpu = ProcessorTimeOf(getpid());
  std::vector<Duration> keepers;
  for (const int pid : settings_.keeper_pids) {
    keepers.push_back(ProcessorTimeOf(pid));
  }
  RunFor(loop_, kIdle);
  const double seconds = Millis(kIdle) / 1000;
  const auto nodes = static_cast<double>(std::max<size_t>(agents_.size(), 1));
  std::printf(
      "idle, %zu nodes: %.0f bytes/s a node, %.4f%% of a core a node, "
      "%.1f KiB of memory a node\n",
      settings_.nodes, (ControlBytes() - bytes) / seconds / nodes,
      Millis(ProcessorTimeOf(getpid()) - cpu) / 10 / seconds / nodes,
      static_cast<double>(ResidentBytes() - base_memory_) / 1024 / nodes);
  for (size_t i = 0; i < keepers.size(); ++i) {
    std::printf("idle, keeper %zu: %.2f%% of a core\n", i + 1,
                Millis(ProcessorTimeOf(settings_.keeper_pids[i]) - keepers[i]) /
                    10 / seconds);
  }
}

void FleetRun::MeasureClaims() {
  claiming_ = true;
  claim_times_.clear();
  refused_claims_ = 0;
  for (size_t claimer = 0; claimer < settings_.claimers; ++claimer) {
    ClaimNext(claimer);
  }
  RunFor(loop_, kClaiming);
  claiming_ = false;
  const auto count = static_cast<double>(claim_times_.size());
  std::printf(
      "claims, %zu in flight: %.0f a second, median %.2f ms, 99%% "
      "%.2f ms, worst %.2f ms, %zu not granted\n",
      settings_.claimers, count * 1000 / Millis(kClaiming),
      Millis(Quantile(claim_times_, 0.5)), Millis(Quantile(claim_times_, 0.99)),
      Millis(Quantile(claim_times_, 1)), refused_claims_);
  RunFor(loop_, std::chrono::milliseconds(500));
}

uint64_t FleetRun::ActiveRevision() {
  const net::HttpResult answer =
      FetchAdmin(loop_, settings_.admins.front(), "GET", "/fleet", "");
  if (answer.status != 200) {
    throw std::runtime_error("GET /fleet failed: " + answer.body +
                             answer.error);
  }
  return nlohmann::json::parse(answer.body)["active"];
}

bool FleetRun::AllActive(uint64_t revision) const {
  return std::all_of(agents_.begin(), agents_.end(), [&](const auto& agent) {
    return agent->active().value >= revision && agent->lease_held();
  });
}

double FleetRun::ControlBytes() const {
  double bytes = 0;
  for (const auto& agent : agents_) {
    std::vector<MetricSample> samples;
    agent->Collect(samples);
    for (const MetricSample& sample : samples) {
      bytes += sample.name == "ibis_control_bytes_total" ? sample.value : 0;
    }
  }
  return bytes;
}

void FleetRun::ClaimNext(size_t claimer) {
  if (!claiming_) {
    return;
  }
  wire::ClaimRequest request;
  request.key = {
      ServiceName("service"),
      "key-" + std::to_string(getpid()) + "-" + std::to_string(next_attempt_)};
  request.holder.attempt = {Incarnation(1), next_attempt_++};
  request.retention_us = 3'600'000'000;
  const Time start = loop_.Now();
  agents_[claimer % agents_.size()]->Claim(
      request, std::chrono::seconds(5),
      [this, claimer, start](const wire::ClaimReply& reply) {
        if (reply.verdict == wire::ClaimVerdict::kGranted) {
          claim_times_.push_back(loop_.Now() - start);
        } else {
          ++refused_claims_;
        }
        ClaimNext(claimer);
      });
}

}  // namespace ibisvalve::bench

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "base/base.h"

namespace ibisvalve::bench {

/// The distribution of service times around their mean.
enum class Distribution : uint8_t { kFixed, kExponential, kLogNormal };

/// Parses "fixed", "exponential" or "lognormal"; returns nullopt for other
/// texts.
std::optional<Distribution> ParseDistribution(const std::string& text);

/// Parameters of the service times of one fake target.
struct ServiceSettings {
  Duration mean = std::chrono::milliseconds(5);
  Distribution distribution = Distribution::kFixed;
  double straggler = 1;     // factor on every service time
  double noise_factor = 1;  // on service times that start in a noisy period
  double noise_share = 0;   // fraction of time that is noisy, 0 to below 1
  Duration noise_length = std::chrono::milliseconds(50);  // mean of a period
  double cold_factor = 1;                                 // factor at the start
  Duration cold_length{0};  // time in which cold_factor falls to 1

  auto operator<=>(const ServiceSettings&) const = default;
};

/// Generates the service time of each run from a random seed.
class ServiceModel {
 public:
  /// `start` is the start time of the target.
  ServiceModel(const ServiceSettings& settings, uint64_t seed, Time start);

  /// Returns the service time of a run that starts at `now`. Calls must pass
  /// non-decreasing times.
  Duration DrawServiceTime(Time now);
  /// Replaces the straggler factor.
  void SetStraggler(double factor) { settings_.straggler = factor; }

 private:
  bool Noisy(Time now);
  double Draw();

  ServiceSettings settings_;
  std::mt19937_64 random_;
  std::mt19937_64 noise_random_;
  Time start_;
  bool noisy_ = false;
  Time period_end_;
};

}  // namespace ibisvalve::bench

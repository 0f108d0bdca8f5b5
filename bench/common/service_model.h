#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "base/base.h"

namespace ibisvalve::bench {

/// How service times spread around their mean.
enum class Distribution : uint8_t { kFixed, kExponential, kLogNormal };

/// Parses "fixed", "exponential" or "lognormal".
std::optional<Distribution> ParseDistribution(const std::string& text);

/// Service times of one fake target.
struct ServiceSettings {
  Duration mean = std::chrono::milliseconds(5);
  Distribution distribution = Distribution::kFixed;
  double straggler = 1;     // factor on every service time
  double noise_factor = 1;  // on service times that start in a noisy period
  double noise_share = 0;   // of the time that is noisy, 0 to below 1
  Duration noise_length = std::chrono::milliseconds(50);  // mean of a period
  double cold_factor = 1;                                 // at the start
  Duration cold_length{0};  // the factor falls to 1 over this time

  auto operator<=>(const ServiceSettings&) const = default;
};

/// Draws the service time of each run from a seed.
class ServiceModel {
 public:
  /// `start` is when the target came up.
  ServiceModel(const ServiceSettings& settings, uint64_t seed, Time start);

  /// Returns the service time of a run that starts now. Time may not go back.
  Duration Next(Time now);
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

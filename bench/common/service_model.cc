#include "bench/common/service_model.h"

#include <algorithm>
#include <cmath>

namespace ibisvalve::bench {
namespace {

constexpr double kLogNormalSigma = 1.0;
// Separates the random stream of the noise from that of the service times.
constexpr uint64_t kNoiseStream = 0x6e6f697365;

double Exponential(std::mt19937_64& random, double mean) {
  return std::exponential_distribution<double>(1.0 / mean)(random);
}

}  // namespace

std::optional<Distribution> ParseDistribution(const std::string& text) {
  if (text == "fixed") {
    return Distribution::kFixed;
  }
  if (text == "exponential") {
    return Distribution::kExponential;
  }
  if (text == "lognormal") {
    return Distribution::kLogNormal;
  }
  return std::nullopt;
}

ServiceModel::ServiceModel(const ServiceSettings& settings,
                           uint64_t seed,
                           Time start)
    : settings_(settings),
      random_(seed),
      noise_random_(seed ^ kNoiseStream),
      start_(start),
      period_end_(start) {}

Duration ServiceModel::DrawServiceTime(Time now) {
  double factor = settings_.straggler;
  if (Noisy(now)) {
    factor *= settings_.noise_factor;
  }
  if (now - start_ < settings_.cold_length) {
    const double warm = static_cast<double>((now - start_).count()) /
                        static_cast<double>(settings_.cold_length.count());
    factor *= settings_.cold_factor + (1 - settings_.cold_factor) * warm;
  }
  return Duration(static_cast<int64_t>(Draw() * factor));
}

bool ServiceModel::Noisy(Time now) {
  if (settings_.noise_share <= 0) {
    return false;
  }
  const double noisy_mean = static_cast<double>(settings_.noise_length.count());
  const double quiet_mean =
      noisy_mean * (1 - settings_.noise_share) / settings_.noise_share;
  while (period_end_ <= now) {
    noisy_ = !noisy_;
    const double length =
        Exponential(noise_random_, noisy_ ? noisy_mean : quiet_mean);
    period_end_ += Duration(std::max<int64_t>(1, std::llround(length)));
  }
  return noisy_;
}

double ServiceModel::Draw() {
  const double mean = static_cast<double>(settings_.mean.count());
  switch (settings_.distribution) {
    case Distribution::kExponential:
      return Exponential(random_, mean);
    case Distribution::kLogNormal: {
      const double mu = std::log(mean) - kLogNormalSigma * kLogNormalSigma / 2;
      return std::lognormal_distribution<double>(mu, kLogNormalSigma)(random_);
    }
    case Distribution::kFixed:
      break;
  }
  return mean;
}

}  // namespace ibisvalve::bench

#include "dataplane/target_limit.h"

#include <algorithm>
#include <utility>

#include "dataplane/events.h"

namespace ibisvalve::dataplane {
namespace {

// Lowest rate, in requests per second, at which a target is used: only its next
// response can end its limit.
constexpr double kTrialRate = 0.1;

}  // namespace

TargetLimit::TargetLimit(net::EventLoop& loop,
                         const PlaneSettings& settings,
                         const FleetView& view,
                         Handlers handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      handlers_(std::move(handlers)),
      cold_end_timer_(loop, [this] { Update(); }) {}

void TargetLimit::OnNotice(const TargetNotice& notice,
                           const std::string& source) {
  const TargetNotice before = std::exchange(notice_, notice);
  if (notice.rate_limit != before.rate_limit) {
    LogEvent(kTargetLimit,
             {{"target", identity_},
              {"per_second",
               notice.rate_limit ? std::to_string(*notice.rate_limit) : "none"},
              {"source", source}});
  }
  if (notice.cold_left) {
    SetColdUntil(loop_.Now() + *notice.cold_left);
  }
  Update();
  if (notice.leaving && !before.leaving) {
    LogEvent(kTargetLeaves, {{"target", identity_}, {"source", source}});
  }
  if (notice.leaving) {
    handlers_.on_target_leaves();
  }
}

void TargetLimit::OnAnnouncedCold(Duration left) {
  SetColdUntil(std::max(cold_until_, loop_.Now() + left));
  Update();
}

void TargetLimit::Reset(const std::string& identity) {
  identity_ = identity;
  notice_ = TargetNotice();
  cold_until_ = Time();
  Update();
}

void TargetLimit::SetColdUntil(Time until) {
  const bool was_cold = cold();
  cold_until_ = until;
  if (cold() != was_cold) {
    LogEvent(
        kTargetCold,
        {{"target", identity_},
         {"cold", cold() ? "yes" : "no"},
         {"left_ms", ToMillis(std::max(until - loop_.Now(), Duration(0)))}});
  }
}

void TargetLimit::Update() {
  const world::Service* service =
      view_.fleet() == nullptr
          ? nullptr
          : world::FindService(*view_.fleet(), settings_.service);
  std::optional<double> rate;
  if (notice_.rate_limit) {
    rate = std::max(*notice_.rate_limit, kTrialRate);
  }
  if (service != nullptr && service->cold && cold()) {
    rate = std::min(rate.value_or(service->cold->per_second),
                    service->cold->per_second);
    cold_end_timer_.StartOnce(cold_until_ - loop_.Now());
  }
  if (rate == rate_) {
    return;
  }
  const std::optional<double> before = std::exchange(rate_, rate);
  handlers_.on_rate(rate);
  // Smaller changes are told with the next responses.
  if (rate.has_value() != before.has_value()) {
    handlers_.on_load_changed();
  }
}

}  // namespace ibisvalve::dataplane

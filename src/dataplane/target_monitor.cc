#include "dataplane/target_monitor.h"

#include <event2/bufferevent.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "dataplane/events.h"

namespace ibisvalve::dataplane {
namespace {

constexpr Duration kCheckTimeout = std::chrono::seconds(1);
constexpr uint32_t kMaxCheckBodyBytes = 64 << 10;
constexpr int kMinHealthyStatus = 200;
constexpr int kHealthyStatusEnd = 300;

}  // namespace

TargetMonitor::TargetMonitor(net::EventLoop& loop,
                             const PlaneSettings& settings,
                             const FleetView& view,
                             OnState on_state)
    : loop_(loop),
      settings_(settings),
      view_(view),
      on_state_(std::move(on_state)),
      slots_(settings.slots),
      timer_(loop, [this] { Check(); }),
      connect_timer_(loop, [this] { OnCheckResult(false, false); }) {
  if (settings_.target && checks_enabled()) {
    timer_.StartOnce(Duration(0));
  }
}

TargetMonitor::~TargetMonitor() {
  *alive_ = false;
  if (connecting_ != nullptr) {
    bufferevent_free(connecting_);
  }
}

void TargetMonitor::Announce(const TargetAnnouncement& announcement) {
  const uint64_t run = registry_.run();
  if (!registry_.Apply(announcement)) {
    if (IsDeparture(announcement)) {
      LogEvent(kOtherRunDeparts, {{"identity", announcement.identity},
                                  {"started_ms", announcement.started_ms}});
    } else {
      LogEvent(kAnnouncementLate, {{"identity", announcement.identity},
                                   {"number", announcement.number}});
    }
    return;
  }
  const TargetAnnouncement& current = *registry_.current();
  if (run != registry_.run() || identity_ != current.identity) {
    replaced_ = false;
    identity_ = current.identity;
    LogEvent(kTargetIdentified,
             {{"identity", identity_}, {"started_ms", current.started_ms}});
  }
  // Announcements of the run that leaves do not take its departure back.
  leaves_ = leaves_ && run == registry_.run();
  slots_ = current.slots == 0 ? settings_.slots : current.slots;
  // A target that announces that it is ready is assumed to be reachable until
  // the next check.
  reachable_ |= announcement.state == world::TargetState::kReady;
  UpdateState();
}

void TargetMonitor::RecordDepartures(const world::DepartedRuns& runs) {
  if (registry_.RecordDepartures(runs)) {
    UpdateState();
  }
}

std::optional<world::TargetRun> TargetMonitor::departing_run() const {
  const std::optional<TargetAnnouncement>& announced = registry_.current();
  if (!announced || announced->identity.empty()) {
    return std::nullopt;
  }
  const bool departs =
      leaves_ || announced->state == world::TargetState::kDraining;
  return departs ? std::optional(RunOf(*announced)) : std::nullopt;
}

std::optional<HeardRun> TargetMonitor::heard_run() const {
  const std::optional<TargetAnnouncement>& announced = registry_.current();
  if (!announced || announced->identity.empty()) {
    return std::nullopt;
  }
  return HeardRun{RunOf(*announced), registry_.announcements()};
}

void TargetMonitor::OnTargetReplaced() {
  if (!replaced_) {
    replaced_ = true;
    LogEvent(kTargetReplaced, {{"identity", identity_}});
    UpdateState();
  }
}

void TargetMonitor::OnTargetLeaves() {
  if (!leaves_) {
    leaves_ = true;
    UpdateState();
  }
}

void TargetMonitor::SetDraining(bool draining) {
  if (draining_ != draining) {
    draining_ = draining;
    LogEvent(kDrainChanged, {{"draining", draining ? "yes" : "no"}});
    UpdateState();
  }
}

void TargetMonitor::OnRequestFailure() {
  // A check that is already scheduled within the measuring budget detects a
  // target that does not respond.
  if (checks_enabled() && !checking_ && !timer_.running()) {
    ScheduleNext();
  }
}

void TargetMonitor::Check() {
  checking_ = true;
  ++checks_;
  if (settings_.health_path.empty()) {
    CheckConnect();
  } else {
    CheckHttp();
  }
}

void TargetMonitor::CheckHttp() {
  net::FetchHttp(
      loop_, *settings_.target, "GET", settings_.health_path, "", kCheckTimeout,
      [this, alive = alive_](const net::HttpResult& result) {
        if (*alive) {
          OnCheckResult(result.status != 0,
                        result.status >= kMinHealthyStatus &&
                            result.status < kHealthyStatusEnd);
        }
      },
      kMaxCheckBodyBytes);
}

void TargetMonitor::CheckConnect() {
  connecting_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  CHECK_NOTNULL(connecting_);
  bufferevent_setcb(
      connecting_, nullptr, nullptr,
      [](bufferevent*, int16_t what, void* argument) {
        const bool connected = (what & BEV_EVENT_CONNECTED) != 0;
        static_cast<TargetMonitor*>(argument)->OnCheckResult(connected,
                                                             connected);
      },
      this);
  connect_timer_.StartOnce(kCheckTimeout);
  const net::SocketAddress address = net::ToSocketAddress(*settings_.target);
  if (bufferevent_socket_connect(connecting_, address.get(),
                                 static_cast<int>(address.length)) != 0) {
    connect_timer_.StartOnce(Duration(0));
  }
}

void TargetMonitor::OnCheckResult(bool answered, bool healthy) {
  answers_checks_ = answered;
  if (connecting_ != nullptr) {
    bufferevent_free(std::exchange(connecting_, nullptr));
  }
  connect_timer_.Stop();
  checking_ = false;
  reachable_ = healthy;
  UpdateState();
  ScheduleNext();
}

void TargetMonitor::ScheduleNext() {
  double per_second = world::MeasuringBudget().reports_per_second;
  if (view_.fleet() != nullptr) {
    const world::Service* service =
        world::FindService(*view_.fleet(), settings_.service);
    if (service != nullptr) {
      per_second = service->measuring.reports_per_second;
    }
  }
  constexpr double kMinChecksPerSecond = 0.05;  // also with a budget of 0
  constexpr double kMicrosPerSecond = 1e6;
  timer_.StartOnce(Duration(static_cast<int64_t>(
      kMicrosPerSecond / std::max(per_second, kMinChecksPerSecond))));
}

void TargetMonitor::UpdateState() {
  const std::optional<TargetAnnouncement>& announced = registry_.current();
  world::TargetState state = world::TargetState::kReady;
  if (draining_ || leaves_ ||
      (announced && announced->state == world::TargetState::kDraining)) {
    state = world::TargetState::kDraining;
  } else if (!reachable_ || replaced_) {
    state = world::TargetState::kDown;
  } else if (announced ? announced->state == world::TargetState::kStarting
                       : settings_.target_announces) {
    state = world::TargetState::kStarting;
  }
  state_ = state;
  on_state_(state_, slots_);
}

}  // namespace ibisvalve::dataplane

#include "dataplane/load_tracker.h"

#include <algorithm>
#include <optional>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

// Ingresses are notified at once when the slowdown has changed by more than
// this factor, but at most once per interval: the state of a host usually lasts
// for about a second.
constexpr double kSignificantSlowdownRatio = 1.3;
constexpr Duration kMinNotifyInterval = std::chrono::milliseconds(40);
// A healthy target responds to a load probe within 1 to 2 ms.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(20);
// A probe that is overdue for this long is given up for another one.
constexpr Duration kProbeGiveUpTime = std::chrono::seconds(1);

}  // namespace

LoadTracker::LoadTracker(net::EventLoop& loop,
                         const PlaneSettings& settings,
                         TargetClient* client,
                         Handlers handlers)
    : loop_(loop),
      settings_(settings),
      client_(client),
      handlers_(std::move(handlers)),
      probe_timer_(loop, [this] { EndProbe(); }),
      notify_timer_(loop, [this] { NotifyIfChanged(); }),
      link_(settings.link_mbps) {}

void LoadTracker::UpdateFromHeaders(const wire::Headers& headers) {
  const HeaderNames& names = settings_.names;
  const std::string* text =
      names.load.empty() ? nullptr : FindHeader(headers, names.load);
  if (text == nullptr || names.parse_load == nullptr) {
    return;
  }
  if (const std::optional<TargetLoad> load = names.parse_load(*text)) {
    slowdown_ = std::max(load->slowdown, 1.0);
    reported_at_ = loop_.Now();
    NotifyIfChanged();
  }
}

void LoadTracker::NotifyIfChanged() {
  const Time now = loop_.Now();
  const double ratio = slowdown_ / notified_slowdown_;
  const bool changed = ratio > kSignificantSlowdownRatio ||
                       ratio < 1 / kSignificantSlowdownRatio;
  if (!changed) {
    return;
  }
  if (now < notified_at_ + kMinNotifyInterval) {
    notify_timer_.StartOnce(notified_at_ + kMinNotifyInterval - now);
    return;
  }
  notified_slowdown_ = slowdown_;
  notified_at_ = now;
  handlers_.on_changed();
}

void LoadTracker::Probe(Time since) {
  const Time now = loop_.Now();
  const bool in_progress =
      probe_ != nullptr && now < probe_started_ + kProbeGiveUpTime;
  if (client_ == nullptr || in_progress || reported_at_ >= since ||
      path_.empty()) {
    return;
  }
  ++probes_;
  probe_started_ = now;
  const TargetRequest request{
      "GET", path_, {{"Host", world::ToString(*settings_.target)}}, ""};
  const auto end = [this] {
    loop_.Post([this] {
      probe_ = nullptr;
      EndProbe();
    });
  };
  probe_ = client_->Call(request,
                         {[this](const TargetHead& head) {
                            UpdateFromHeaders(head.headers);
                            handlers_.on_probe_headers(head.headers);
                          },
                          [](const std::string&) {}, end,
                          [end](TargetFault, const std::string&) { end(); }});
  probe_timer_.StartOnce(kProbeTimeout);
}

void LoadTracker::EndProbe() {
  probe_timer_.Stop();
  handlers_.on_probed();
}

void LoadTracker::BeginRun(const AttemptId& id, uint64_t usual_service_us) {
  const auto expected = static_cast<Duration::rep>(
      static_cast<double>(usual_service_us) * slowdown_);
  pace_.Begin(id, Duration(expected), loop_.Now());
}

void LoadTracker::EndRun(const AttemptId& id, bool completed) {
  pace_.End(id, completed, loop_.Now());
}

void LoadTracker::OnBytesReceived(uint64_t bytes) {
  link_.Add(bytes, loop_.Now());
}

Duration LoadTracker::ExpectedServiceTime(uint64_t usual_service_us) const {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(usual_service_us) *
                                 slowdown_ * pace_.Pace(loop_.Now())));
}

bool LoadTracker::IsSlowed() const {
  return slowdown_ > kSignificantSlowdownRatio;
}

Duration LoadTracker::age() const {
  return loop_.Now() - reported_at_;
}

void LoadTracker::FillHint(wire::LoadHint& hint, Duration backlog) const {
  const Time now = loop_.Now();
  hint.slowdown_percent = wire::ToPercent(slowdown_);
  hint.pace_percent = wire::ToPercent(pace_.Pace(now));
  hint.transfer_us_per_kib =
      static_cast<uint32_t>(link_.TransferTimePerKib(now, backlog).count());
}

}  // namespace ibisvalve::dataplane

#include "dataplane/load_watch.h"

#include <algorithm>
#include <optional>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

// Ingresses are notified at once when the slowdown has changed by more than
// this factor, but at most once per interval: the state of a host usually lasts
// for about a second.
constexpr double kNoticedChange = 1.3;
constexpr Duration kNoticePause = std::chrono::milliseconds(40);
// A healthy target answers a load probe within 1 to 2 ms.
constexpr Duration kProbePatience = std::chrono::milliseconds(20);

}  // namespace

LoadWatch::LoadWatch(net::EventLoop& loop,
                     const PlaneSettings& settings,
                     TargetClient* client,
                     Handlers handlers)
    : loop_(loop),
      settings_(settings),
      client_(client),
      handlers_(std::move(handlers)),
      probe_timer_(loop, [this] { EndProbe(); }),
      link_(settings.link_mbps) {}

void LoadWatch::Note(const wire::Headers& headers) {
  const HeaderNames& names = settings_.names;
  const std::string* text =
      names.load.empty() ? nullptr : FindHeader(headers, names.load);
  if (text == nullptr || names.parse_load == nullptr) {
    return;
  }
  if (const std::optional<TargetLoad> load = names.parse_load(*text)) {
    slowdown_ = std::max(load->slowdown, 1.0);
    told_ = loop_.Now();
    Notice();
  }
}

void LoadWatch::Notice() {
  const Time now = loop_.Now();
  const double ratio = slowdown_ / noticed_slowdown_;
  const bool changed = ratio > kNoticedChange || ratio < 1 / kNoticedChange;
  if (changed && now >= noticed_ + kNoticePause) {
    noticed_slowdown_ = slowdown_;
    noticed_ = now;
    handlers_.on_changed();
  }
}

void LoadWatch::Probe(Time since) {
  if (client_ == nullptr || probing() || told_ >= since || path_.empty()) {
    return;
  }
  ++probes_;
  const TargetRequest request{
      "GET", path_, {{"Host", world::ToString(*settings_.target)}}, ""};
  const auto end = [this] {
    loop_.Post([this] {
      probe_ = nullptr;
      EndProbe();
    });
  };
  probe_ = client_->Call(
      request, {[this](const TargetHead& head) { Note(head.headers); },
                [](const std::string&) {}, end,
                [end](TargetFault, const std::string&) { end(); }});
  probe_timer_.StartOnce(kProbePatience);
}

void LoadWatch::EndProbe() {
  probe_timer_.Stop();
  handlers_.on_probed();
}

void LoadWatch::BeginRun(const AttemptId& id, uint64_t usual_us) {
  const auto expected =
      static_cast<Duration::rep>(static_cast<double>(usual_us) * slowdown_);
  pace_.Begin(id, Duration(expected), loop_.Now());
}

void LoadWatch::EndRun(const AttemptId& id, bool whole) {
  pace_.End(id, whole, loop_.Now());
}

void LoadWatch::Received(uint64_t bytes) {
  link_.Add(bytes, loop_.Now());
}

Duration LoadWatch::Expected(uint64_t usual_us) const {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(usual_us) * slowdown_ * pace_.Pace(loop_.Now())));
}

bool LoadWatch::IsSlowed() const {
  return slowdown_ > kNoticedChange;
}

Duration LoadWatch::age() const {
  return loop_.Now() - told_;
}

void LoadWatch::Describe(wire::LoadHint& hint) const {
  const Time now = loop_.Now();
  hint.slowdown_percent = wire::ToPercent(slowdown_);
  hint.pace_percent = wire::ToPercent(pace_.Pace(now));
  hint.kib_us = static_cast<uint32_t>(link_.PerKib(now).count());
}

}  // namespace ibisvalve::dataplane

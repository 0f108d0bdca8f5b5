#include "dataplane/node_plane.h"

#include <algorithm>
#include <utility>

#include "dataplane/caller_server.h"
#include "dataplane/crash_tracker.h"
#include "dataplane/events.h"
#include "dataplane/gate.h"
#include "dataplane/ingress.h"
#include "dataplane/memory_budget.h"
#include "dataplane/mesh_server.h"
#include "dataplane/plane_pages.h"
#include "dataplane/target_monitor.h"

namespace ibisvalve::dataplane {
namespace {

void Add(std::vector<MetricSample>& out,
         const std::string& name,
         double value,
         bool counter) {
  out.push_back(MetricSample{name, {}, value, counter});
}

}  // namespace

class NodePlane::Impl {
 public:
  Impl(net::EventLoop& loop,
       const PlaneSettings& settings,
       const FleetView& view,
       ClaimPort claims,
       PlaneHandlers handlers);

  void ApplyFleet();
  void ApplyZones();
  void FetchFile(const NodeId& peer) { ingress_.gates().FetchFile(peer); }
  void SetIncarnation(Incarnation incarnation) {
    settings_.incarnation = incarnation;
  }
  void Announce(const TargetAnnouncement& announcement);
  void RecordDepartures(const world::DepartedRuns& runs) {
    monitor_.RecordDepartures(runs);
  }
  std::optional<world::TargetRun> FindRun(
      const TargetAnnouncement& announcement) const {
    return monitor_.FindRun(announcement);
  }
  std::optional<world::TargetRun> departing_run() const {
    return monitor_.departing_run();
  }
  std::optional<HeardRun> heard_run() const { return monitor_.heard_run(); }
  void SetTargetHeld(bool held) { gate_.SetHeld(held); }
  void ApplyMember(const world::Member& member) { crashes_.OnMember(member); }
  void SetDraining(bool draining);
  void Stop(Duration limit, std::function<void()> done);
  void Serve(net::AdminServer& admin);
  std::string StatusJson() const;
  void Collect(std::vector<MetricSample>& out) const;

  CrashTracker& crashes() { return crashes_; }
  bool ready() const { return ingress_.knows_crashes(); }
  const CallerServer& callers() const { return callers_; }
  const MeshServer& mesh() const { return mesh_; }

 private:
  void ConfigureProbes();
  void ProbeLoad();
  void OnTargetState(world::TargetState state, uint32_t slots);
  void CheckStopped();
  void FinishStop(const std::string& how);

  net::EventLoop& loop_;
  PlaneSettings settings_;
  const FleetView& view_;
  ClaimPort claims_;
  PlaneHandlers handlers_;
  MemoryBudget memory_;
  std::optional<world::TargetState> reported_state_;
  uint32_t reported_slots_ = 0;
  std::function<void()> on_stopped_;  // null unless a stop is in progress
  CrashTracker crashes_;
  Gate gate_;
  Ingress ingress_;
  MeshServer mesh_;
  CallerServer callers_;
  TargetMonitor monitor_;
  net::Timer linger_timer_;
  net::Timer stop_timer_;
  net::Timer stop_check_timer_;
  net::Timer probe_timer_;
  Duration probe_interval_{0};
};

NodePlane::Impl::Impl(net::EventLoop& loop,
                      const PlaneSettings& settings,
                      const FleetView& view,
                      ClaimPort claims,
                      PlaneHandlers handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      claims_(std::move(claims)),
      handlers_(std::move(handlers)),
      memory_(settings.body_memory),
      crashes_(
          loop,
          settings_,
          view,
          [this](const ServiceName& service, const wire::CrashNotice& notice) {
            const size_t told = ingress_.gates().Broadcast(service, notice);
            LogEvent(kCrashesTold,
                     {{"requests", uint64_t{notice.records.size()}},
                      {"gates_told", uint64_t{told}}});
          }),
      gate_(loop,
            settings_,
            view,
            claims_,
            memory_,
            crashes_,
            {[this](Revision seen) {
               if (handlers_.on_newer_revision) {
                 handlers_.on_newer_revision(seen);
               }
             },
             [this] { monitor_.OnRequestFailure(); },
             [this] { mesh_.Broadcast(wire::LoadNotice{gate_.Hint()}); },
             [this] { monitor_.OnTargetReplaced(); },
             [this] { monitor_.OnTargetLeaves(); },
             [this] { return monitor_.departing_run().has_value(); }}),
      ingress_(loop, settings_, view, gate_, crashes_, handlers_),
      mesh_(loop, settings_, view, gate_, handlers_.present_file),
      callers_(loop,
               settings_.callers,
               settings_.caller_connections,
               memory_,
               {[this](const std::shared_ptr<CallerExchange>& exchange) {
                  ingress_.OnRequest(exchange);
                },
                [this](CallerExchange& exchange, const net::HttpError& error) {
                  ingress_.RejectMalformed(exchange, error);
                }}),
      monitor_(loop,
               settings_,
               view,
               [this](world::TargetState state, uint32_t slots) {
                 OnTargetState(state, slots);
               }),
      linger_timer_(loop, [this] { callers_.StopListening(); }),
      stop_timer_(loop, [this] { FinishStop("limit"); }),
      stop_check_timer_(loop, [this] { CheckStopped(); }),
      probe_timer_(loop, [this] { ProbeLoad(); }) {}

void NodePlane::Impl::Announce(const TargetAnnouncement& announcement) {
  const uint64_t run = monitor_.run();
  const std::optional<HeardRun> before = monitor_.heard_run();
  const bool departed = monitor_.departing_run().has_value();
  monitor_.Announce(announcement);
  if (run != 0 && monitor_.run() != run) {
    gate_.OnTargetEnded(departed);
    crashes_.OnTargetReplaced();
  } else if (before && before < monitor_.heard_run()) {
    crashes_.OnTargetHeard();
  }
  gate_.SetTargetRun(monitor_.run(), monitor_.identity());
  gate_.OnAnnouncedCold(monitor_.cold_left());
}

void NodePlane::Impl::SetDraining(bool draining) {
  monitor_.SetDraining(draining);
}

void NodePlane::Impl::Stop(Duration limit, std::function<void()> done) {
  constexpr Duration kStopCheckInterval = std::chrono::milliseconds(10);
  on_stopped_ = std::move(done);
  callers_.DisableKeepAlive();
  ingress_.SetStopTime(loop_.Now() + limit);
  monitor_.SetDraining(true);
  if (settings_.stop_linger > Duration(0)) {
    linger_timer_.StartOnce(settings_.stop_linger);
  } else {
    callers_.StopListening();
  }
  stop_timer_.StartOnce(limit);
  stop_check_timer_.StartPeriodic(kStopCheckInterval);
}

void NodePlane::Impl::CheckStopped() {
  if (!linger_timer_.running() && gate_.in_flight() == 0 &&
      ingress_.in_flight() == 0 && !callers_.busy()) {
    FinishStop("idle");
  }
}

void NodePlane::Impl::FinishStop(const std::string& how) {
  stop_timer_.Stop();
  stop_check_timer_.Stop();
  ingress_.SetStopTime(loop_.Now());  // the process is about to exit
  LogEvent(kPlaneStopped,
           {{"how", how},
            {"in_flight", uint64_t{gate_.in_flight() + ingress_.in_flight()}}});
  const auto done = std::exchange(on_stopped_, nullptr);
  if (done) {
    done();
  }
}

void NodePlane::Impl::Serve(net::AdminServer& admin) {
  PageActions actions;
  actions.set_draining = [this](bool draining) { SetDraining(draining); };
  actions.announce = [this](const TargetAnnouncement& announcement) {
    Announce(announcement);
  };
  actions.quarantined = [this] { return crashes_.List(); };
  actions.lift = [this](Digest fingerprint) {
    ingress_.gates().BroadcastToAll(wire::LiftNotice{fingerprint});
    return crashes_.Lift(fingerprint);
  };
  actions.status = [this] { return StatusJson(); };
  actions.now = [this] { return loop_.Now(); };
  AddPages(admin, actions);
}

std::string NodePlane::Impl::StatusJson() const {
  PlaneStatus status;
  status.target = monitor_.state();
  status.slots = monitor_.slots();
  status.draining = monitor_.draining();
  status.gate_in_flight = gate_.in_flight();
  status.gate_hint = gate_.Hint();
  status.ingress_in_flight = ingress_.in_flight();
  status.links = ingress_.gates().peers().links();
  status.memory_used = memory_.used();
  status.memory_limit = memory_.limit();
  return ToJson(status);
}

void NodePlane::Impl::Collect(std::vector<MetricSample>& out) const {
  const GateCounts& gate = gate_.counts();
  Add(out, "ibis_gate_dispatched_total", static_cast<double>(gate.dispatched),
      true);
  Add(out, "ibis_gate_answered_total", static_cast<double>(gate.answered),
      true);
  Add(out, "ibis_gate_not_run_total", static_cast<double>(gate.refused), true);
  Add(out, "ibis_gate_unknown_total", static_cast<double>(gate.unknown), true);
  Add(out, "ibis_gate_fenced_total", static_cast<double>(gate.fenced), true);
  Add(out, "ibis_gate_cancelled_total", static_cast<double>(gate.cancelled),
      true);
  Add(out, "ibis_gate_in_flight", static_cast<double>(gate_.in_flight()),
      false);
  Add(out, "ibis_gate_running", gate_.running(), false);
  Add(out, "ibis_gate_target_held", gate_.held() ? 1 : 0, false);
  Add(out, "ibis_gate_target_cold", gate_.cold() ? 1 : 0, false);
  Add(out, "ibis_gate_zone_evacuated",
      view_.IsEvacuated(settings_.location.zone) ? 1 : 0, false);
  Add(out, "ibis_gate_limit", gate_.Hint().limit, false);
  Add(out, "ibis_gate_attempt_entries",
      static_cast<double>(gate_.attempts().entries()), false);
  Add(out, "ibis_gate_kept_answer_bytes",
      static_cast<double>(gate_.attempts().response_bytes()), false);
  const IngressCounts& ingress = ingress_.counts();
  Add(out, "ibis_ingress_requests_total", static_cast<double>(ingress.requests),
      true);
  Add(out, "ibis_ingress_attempts_total", static_cast<double>(ingress.attempts),
      true);
  Add(out, "ibis_ingress_retries_total", static_cast<double>(ingress.retries),
      true);
  Add(out, "ibis_ingress_hedges_total", static_cast<double>(ingress.hedges),
      true);
  Add(out, "ibis_ingress_queries_total",
      static_cast<double>(ingress_.queries()), true);
  Add(out, "ibis_ingress_hung_up_total", static_cast<double>(ingress.hung_up),
      true);
  Add(out, "ibis_ingress_returned_total", static_cast<double>(ingress.returned),
      true);
  Add(out, "ibis_ingress_returned_answered_total",
      static_cast<double>(ingress.returned_answered), true);
  const QuotaCounts& quotas = ingress_.quota_counts();
  Add(out, "ibis_quota_asked_total", static_cast<double>(quotas.asked), true);
  Add(out, "ibis_quota_granted_total", static_cast<double>(quotas.granted),
      true);
  Add(out, "ibis_quota_over_total", static_cast<double>(quotas.over), true);
  Add(out, "ibis_quota_unknown_total", static_cast<double>(quotas.unknown),
      true);
  Add(out, "ibis_ingress_in_flight", static_cast<double>(ingress_.in_flight()),
      false);
  Add(out, "ibis_mesh_links",
      static_cast<double>(ingress_.gates().peers().links()), false);
  Add(out, "ibis_mesh_sent_bytes_total",
      static_cast<double>(ingress_.gates().peers().sent_bytes()), true);
  Add(out, "ibis_measuring_heartbeats_total",
      static_cast<double>(ingress_.gates().peers().pings()), true);
  Add(out, "ibis_measuring_target_checks_total",
      static_cast<double>(monitor_.checks()), true);
  Add(out, "ibis_measuring_load_probes_total",
      static_cast<double>(gate_.probes()), true);
  Add(out, "ibis_suspected_requests",
      static_cast<double>(crashes_.CountSuspects()), false);
  Add(out, "ibis_quarantined_requests",
      static_cast<double>(crashes_.List().size()), false);
  Add(out, "ibis_body_memory_bytes", static_cast<double>(memory_.used()),
      false);
}

void NodePlane::Impl::OnTargetState(world::TargetState state, uint32_t slots) {
  if (!monitor_.answers_checks()) {
    gate_.OnTargetEnded(monitor_.departing_run().has_value());
  }
  gate_.SetTargetState(state, slots);
  if (reported_state_ == state && reported_slots_ == slots) {
    return;
  }
  reported_state_ = state;
  reported_slots_ = slots;
  LogEvent(kTargetStateChanged,
           {{"state", world::ToString(state)}, {"slots", uint64_t{slots}}});
  if (handlers_.on_target) {
    handlers_.on_target(state, slots);
  }
}

// Applies the limits of the active configuration to the callers' connections.
// The limits per service are the largest of all services, because the service
// is not known while a request is being read.
void NodePlane::Impl::ApplyFleet() {
  if (view_.fleet() == nullptr) {
    return;
  }
  const world::CallerRules& rules = view_.fleet()->callers;
  world::Limits largest;
  for (const world::Service& service : view_.fleet()->services) {
    largest.request_body =
        std::max(largest.request_body, service.limits.request_body);
    largest.header_bytes =
        std::max(largest.header_bytes, service.limits.header_bytes);
  }
  CallerLimits limits;
  limits.http.header_bytes = std::min(rules.header_bytes, largest.header_bytes);
  limits.http.body_bytes = std::min(rules.body_bytes, largest.request_body);
  limits.header_timeout = rules.header_timeout;
  limits.idle_timeout = rules.idle_timeout;
  callers_.SetLimits(limits);
  ConfigureProbes();
}

// Requests that wait for the target of an evacuated zone go elsewhere.
void NodePlane::Impl::ApplyZones() {
  const bool evacuated = view_.IsEvacuated(settings_.location.zone);
  LogEvent(kZonesChanged, {{"own_zone_evacuated", evacuated ? "yes" : "no"}});
  if (evacuated) {
    gate_.RefuseWaiting(world::Reason::kEvacuated);
  }
}

// Configures load probes for a target that reports its load. Probes are sent
// when responses are too rare, at most at the rate that the service's measuring
// budget allows.
void NodePlane::Impl::ConfigureProbes() {
  const world::Service* service =
      world::FindService(*view_.fleet(), settings_.service);
  const bool probes = service != nullptr && !settings_.names.load.empty() &&
                      !service->health_path.empty() &&
                      service->measuring.reports_per_second > 0;
  gate_.SetLoadPath(probes ? service->health_path : "");
  if (!probes) {
    probe_timer_.Stop();
    return;
  }
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / service->measuring.reports_per_second));
  if (interval != probe_interval_ || !probe_timer_.running()) {
    probe_interval_ = interval;
    probe_timer_.StartPeriodic(interval);
  }
}

void NodePlane::Impl::ProbeLoad() {
  gate_.ProbeLoad(loop_.Now() - probe_interval_);
}

NodePlane::NodePlane(net::EventLoop& loop,
                     const PlaneSettings& settings,
                     const FleetView& view,
                     ClaimPort claims,
                     PlaneHandlers handlers)
    : impl_(std::make_unique<Impl>(loop,
                                   settings,
                                   view,
                                   std::move(claims),
                                   std::move(handlers))) {}

NodePlane::~NodePlane() = default;

void NodePlane::Announce(const TargetAnnouncement& announcement) {
  impl_->Announce(announcement);
}

void NodePlane::RecordDepartures(const world::DepartedRuns& runs) {
  impl_->RecordDepartures(runs);
}

std::optional<world::TargetRun> NodePlane::FindRun(
    const TargetAnnouncement& announcement) const {
  return impl_->FindRun(announcement);
}

std::optional<world::TargetRun> NodePlane::departing_run() const {
  return impl_->departing_run();
}

std::optional<HeardRun> NodePlane::heard_run() const {
  return impl_->heard_run();
}

void NodePlane::SetTargetHeld(bool held) {
  impl_->SetTargetHeld(held);
}

void NodePlane::ApplyMember(const world::Member& member) {
  impl_->ApplyMember(member);
}

void NodePlane::SetIncarnation(Incarnation incarnation) {
  impl_->SetIncarnation(incarnation);
}

void NodePlane::FetchFile(const NodeId& peer) {
  impl_->FetchFile(peer);
}

void NodePlane::ApplyFleet() {
  impl_->ApplyFleet();
}

void NodePlane::ApplyZones() {
  impl_->ApplyZones();
}

void NodePlane::Drain() {
  impl_->SetDraining(true);
}

void NodePlane::Undrain() {
  impl_->SetDraining(false);
}

void NodePlane::Stop(Duration limit, std::function<void()> done) {
  impl_->Stop(limit, std::move(done));
}

void NodePlane::Serve(net::AdminServer& admin) {
  impl_->Serve(admin);
}

std::vector<world::CrashRecord> NodePlane::RepeatedCrashes() const {
  return impl_->crashes().SyncRecords().records;
}

world::CrashRecord NodePlane::FindCrashes(Digest resource) const {
  return impl_->crashes().Find(resource);
}

std::vector<world::CrashRecord> NodePlane::LearnCrashes(
    const std::vector<world::CrashRecord>& records) {
  impl_->crashes().OnNotice({records});
  return impl_->crashes().Corrections(records);
}

bool NodePlane::ready() const {
  return impl_->ready();
}

world::Endpoint NodePlane::callers() const {
  return impl_->callers().local();
}

world::Endpoint NodePlane::mesh() const {
  return impl_->mesh().local();
}

std::string NodePlane::StatusJson() const {
  return impl_->StatusJson();
}

void NodePlane::Collect(std::vector<MetricSample>& out) const {
  impl_->Collect(out);
}

}  // namespace ibisvalve::dataplane

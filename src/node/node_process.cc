#include "node/node_process.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "node/admin_pages.h"
#include "node/events.h"

namespace ibisvalve::node {
namespace {

// A reachable keeper answers well within this interval, so the file is fetched
// from a peer only if no keeper is reachable.
constexpr Duration kPeerFetchInterval = std::chrono::milliseconds(500);
constexpr Duration kCrashReportInterval = std::chrono::seconds(1);
// About 16 KiB, so that a report does not hold up heartbeats on a small link.
constexpr size_t kMaxCrashesPerReport = 256;
// A report to a keeper may be lost.
constexpr Duration kCrashReportRepeat = std::chrono::seconds(10);
constexpr Duration kJoinCheckInterval = std::chrono::milliseconds(20);
// A node that no other member answers for this long is on its own.
constexpr Duration kJoinTimeout = std::chrono::milliseconds(500);
// A node that has joined the fleet, but gets no lease from a keeper for this
// long, goes by what the other members remember. Keepers that were all ended
// have elected a leader by then.
constexpr Duration kLeaseTimeout = std::chrono::seconds(2);
constexpr size_t kMaxWaitingAnnouncements = 64;

dataplane::PlaneSettings ToPlaneSettings(const config::Settings& settings,
                                         const NodeOptions& options,
                                         Incarnation incarnation) {
  dataplane::PlaneSettings plane;
  plane.names = options.names;
  plane.stop_linger = settings.limits.stop_linger;
  plane.retries = {settings.limits.retry_share, settings.limits.retry_burst,
                   settings.limits.retries_per_second};
  plane.id = settings.id;
  plane.incarnation = incarnation;
  plane.location = settings.location;
  plane.callers = settings.callers;
  plane.mesh = settings.mesh;
  plane.choice = ToChoiceKind(settings.policy);
  plane.body_memory = settings.limits.body_memory;
  plane.caller_connections = settings.limits.caller_connections;
  plane.link_silence = settings.limits.link_silence;
  plane.link_mbps = settings.limits.link_mbps;
  if (settings.target) {
    plane.target = settings.target->endpoint;
    plane.service = settings.target->service;
    plane.slots = settings.target->slots;
    plane.health_path = settings.target->health_path;
    plane.target_announces = settings.target->announces;
  }
  return plane;
}

// Returns a function that calls `done` when it has been called twice, with
// whether both calls were passed true.
std::function<void(bool)> AfterBoth(std::function<void(bool)> done) {
  const auto first = std::make_shared<std::optional<bool>>();
  return [first, done = std::move(done)](bool result) {
    if (first->has_value()) {
      done(**first && result);
    } else {
      *first = result;
    }
  };
}

observe::RequestSample ToSample(const dataplane::RequestRecord& record) {
  return {record.service, record.gate,     record.gate_zone,
          record.outcome, record.reason,   record.status,
          record.took,    record.deadline, record.hung_up};
}

}  // namespace

NodeProcess::NodeProcess(net::EventLoop& loop,
                         const config::Settings& settings,
                         NodeOptions options)
    : loop_(loop),
      settings_(settings),
      options_(std::move(options)),
      incarnation_(NewIncarnation()),
      configured_keepers_(settings.keepers),
      admin_(loop, settings.admin),
      peer_fetch_timer_(loop, [this] { FetchFileFromPeer(); }),
      crash_report_timer_(loop, [this] { ReportCrashes(); }),
      started_(loop.Now()),
      join_timer_(loop, [this] { ApplyWaitingAnnouncements(); }),
      hold_timer_(loop, [this] { CheckTargetHold(); }) {
  plane_ = std::make_unique<dataplane::NodePlane>(
      loop_, ToPlaneSettings(settings_, options_, incarnation_), view_,
      MakeClaimPort(), MakePlaneHandlers());
  membership::MembershipSettings gossip;
  gossip.seeds = settings_.seeds;
  membership_ = std::make_unique<membership::MembershipService>(
      loop_, gossip, MakeSelf(),
      [this](const world::Member& member) { OnMember(member); });
  agent_ = std::make_unique<control::NodeAgent>(
      loop_, settings_.keepers, membership_->self(), MakeAgentHandlers());
  view_.SetLeaseCheck([this] { return agent_->lease_held(); });
  view_.SetOnFleetChanged([this] { plane_->ApplyFleet(); });
  view_.SetOnMemberChanged(
      [this](const world::Member& member) { plane_->ApplyMember(member); });
  if (settings_.target && settings_.target->announces) {
    plane_->SetTargetHeld(true);
    hold_timer_.StartPeriodic(kJoinCheckInterval);
  }
  peer_fetch_timer_.StartPeriodic(kPeerFetchInterval);
  crash_report_timer_.StartPeriodic(kCrashReportInterval);
  ServePages();
  LogEvent(kProcessStarted,
           {{"role", "node"},
            {"id", settings_.id.value},
            {"incarnation", incarnation_.value},
            {"zone", settings_.location.zone.value},
            {"callers", world::ToString(plane_->callers())},
            {"mesh", world::ToString(plane_->mesh())},
            {"gossip", world::ToString(membership_->self().gossip)},
            {"admin", world::ToString(admin_.local())}});
}

NodeProcess::~NodeProcess() = default;

void NodeProcess::Stop(std::function<void()> done) {
  if (std::exchange(stopping_, true)) {
    return;
  }
  LogEvent(kProcessStopping, {{"id", settings_.id.value}});
  // The draining state is sent to the peers before the gate starts to refuse
  // their requests.
  OnTarget(world::TargetState::kDraining, 0);
  plane_->Stop(settings_.limits.drain_limit, [this, done = std::move(done)] {
    membership_->Leave([this, done] {
      agent_->Leave([this, done] {
        LogEvent(kProcessStopped, {{"id", settings_.id.value}});
        done();
      });
    });
  });
}

void NodeProcess::Announce(const dataplane::TargetAnnouncement& announcement,
                           std::function<void(bool)> done) {
  if (MayTrustAnnouncements()) {
    ApplyAnnouncement(announcement, std::move(done));
  } else if (waiting_announcements_.size() < kMaxWaitingAnnouncements) {
    const bool departs = announcement.stopping ||
                         announcement.state == world::TargetState::kDraining;
    if (!departs) {
      std::exchange(done, [](bool) {})(true);  // it promises nothing
    }
    waiting_announcements_.push_back({announcement, std::move(done)});
    if (!join_timer_.running()) {
      join_timer_.StartPeriodic(kJoinCheckInterval);
    }
  } else {
    done(false);
  }
}

// Before this node has heard from the fleet, it cannot tell a late announcement
// of a run that departed from one of a run that is ready.
bool NodeProcess::MayTrustAnnouncements() const {
  return membership_->joined() || loop_.Now() - started_ >= kJoinTimeout;
}

// Lets the gate use the target once the keepers have told which of its runs
// have departed: the other members may have started together with this node,
// and know of none. They hear of the target before, which takes them some time.
void NodeProcess::CheckTargetHold() {
  const Duration limit = membership_->joined() ? kLeaseTimeout : kJoinTimeout;
  if (knows_departures_ || loop_.Now() - started_ >= limit) {
    hold_timer_.Stop();
    plane_->SetTargetHeld(false);
  }
}

void NodeProcess::LearnDepartures(const world::DepartedRuns& runs) {
  if (!runs.empty()) {
    plane_->RecordDepartures(runs);
  }
  if (!std::exchange(knows_departures_, true)) {
    CheckTargetHold();
  }
}

void NodeProcess::ApplyWaitingAnnouncements() {
  if (!MayTrustAnnouncements()) {
    return;
  }
  join_timer_.Stop();
  for (WaitingAnnouncement& waiting :
       std::exchange(waiting_announcements_, {})) {
    ApplyAnnouncement(waiting.announcement, std::move(waiting.done));
  }
}

void NodeProcess::ApplyAnnouncement(
    const dataplane::TargetAnnouncement& announcement,
    std::function<void(bool)> done) {
  plane_->Announce(announcement);
  PublishHostedRun();
  const bool departs =
      dataplane::IsDeparture(announcement) && !announcement.identity.empty();
  const std::optional<world::TargetRun> run =
      departs ? plane_->FindRun(announcement) : plane_->departing_run();
  if (run) {
    RecordDeparture(*run, std::move(done));
  } else {
    if (departs) {
      LogEvent(kDepartureRefused, {{"identity", announcement.identity}});
    }
    done(!departs);
  }
}

// Keepers remember a departure beyond all processes, the other members also
// while no keeper answers.
void NodeProcess::RecordDeparture(const world::TargetRun& run,
                                  std::function<void(bool)> done) {
  const std::function<void(bool)> confirm = AfterBoth(std::move(done));
  membership_->RecordDeparture(run, confirm);
  agent_->RecordDeparture(run, confirm);
}

// Announces the run of the target once it is confirmed. What other members
// remember of it from an earlier process of this node is known by then, so that
// the same run is recognized.
void NodeProcess::PublishHostedRun() {
  const std::optional<dataplane::HeardRun> heard = plane_->heard_run();
  if (heard && heard->announcements > 1 && membership_->joined()) {
    const std::string run = std::to_string(heard->run.started_ms) + '/' +
                            ToHex(heard->run.identity);
    membership_->SetHostedRun(DigestOf(run));
  }
}

void NodeProcess::Reload(const config::Settings& settings) {
  configured_keepers_ = settings.keepers;
  membership_->SetSeeds(settings.seeds);
  UpdateKeepers();
}

bool NodeProcess::ready() const {
  return !stopping_ && view_.fleet() != nullptr && plane_->ready();
}

void NodeProcess::OnMember(const world::Member& member) {
  view_.SetMember(member);
  if (member.id == settings_.id && member.incarnation != incarnation_) {
    incarnation_ = member.incarnation;
    plane_->SetIncarnation(incarnation_);
  }
  if (member.id == settings_.id && !member.departed.empty()) {
    plane_->RecordDepartures(member.departed);
  }
  if (!member.control.ip.empty()) {
    UpdateKeepers();
  }
}

// Orders the keepers by preference: first those in this node's own location,
// then the others known from gossip, and last those in the settings, which may
// no longer exist. Within the first two groups, each node starts at a position
// given by the hash of its id, which distributes the nodes over the keepers.
void NodeProcess::UpdateKeepers() {
  std::vector<world::Endpoint> near;
  std::vector<world::Endpoint> far;
  for (const auto& [id, member] : membership_->members()) {
    if (world::IsLiveKeeper(member)) {
      auto& list = member.location == settings_.location ? near : far;
      list.push_back(member.control);
    }
  }
  const auto spread = [this](std::vector<world::Endpoint>& list) {
    if (!list.empty()) {
      const size_t turn = std::hash<NodeId>()(settings_.id) % list.size();
      std::rotate(list.begin(),
                  list.begin() + static_cast<std::ptrdiff_t>(turn), list.end());
    }
  };
  spread(near);
  spread(far);
  near.insert(near.end(), far.begin(), far.end());
  for (const world::Endpoint& keeper : configured_keepers_) {
    if (std::find(near.begin(), near.end(), keeper) == near.end()) {
      near.push_back(keeper);
    }
  }
  if (agent_ != nullptr) {
    agent_->SetKeepers(near);
  }
}

// Fetches the active configuration file from another node, one per call in
// turn, so that a node can start while no keeper answers. Stops its timer once
// a configuration is active.
void NodeProcess::FetchFileFromPeer() {
  if (view_.fleet() != nullptr) {
    peer_fetch_timer_.Stop();
    return;
  }
  std::vector<NodeId> peers;
  for (const auto& [id, member] : membership_->members()) {
    if (member.state == world::MemberState::kAlive && !member.mesh.ip.empty() &&
        id != settings_.id) {
      peers.push_back(id);
    }
  }
  if (!peers.empty()) {
    plane_->FetchFile(peers[peer_fetches_++ % peers.size()]);
  }
}

// Has the keepers remember which requests crash targets: nodes have no disk,
// and all of them may be killed at once.
void NodeProcess::ReportCrashes() {
  const Time now = loop_.Now();
  if (now - crashes_repeated_at_ >= kCrashReportRepeat) {
    crashes_repeated_at_ = now;
    crash_reports_.Repeat();
  }
  const std::vector<world::CrashRecord> records = crash_reports_.Next(
      plane_->RepeatedCrashes(),
      [this](Digest resource) { return plane_->FindCrashes(resource); },
      kMaxCrashesPerReport);
  if (!records.empty()) {
    agent_->ReportCrashes(records);
  }
}

world::Member NodeProcess::MakeSelf() const {
  world::Member self;
  self.id = settings_.id;
  self.incarnation = incarnation_;
  self.location = settings_.location;
  self.gossip = settings_.gossip;
  self.mesh = plane_->mesh();
  self.admin = admin_.local();
  if (settings_.target) {
    self.service = settings_.target->service;
    self.slots = settings_.target->slots;
    self.target = target_state_;
  }
  return self;
}

dataplane::ClaimPort NodeProcess::MakeClaimPort() {
  dataplane::ClaimPort port;
  port.claim = [this](const wire::ClaimRequest& request, Duration timeout,
                      std::function<void(const wire::ClaimReply&)> done) {
    agent_->Claim(request, timeout, std::move(done));
  };
  port.settle = [this](const wire::ClaimSettle& settle) {
    agent_->Settle(settle);
  };
  return port;
}

dataplane::PlaneHandlers NodeProcess::MakePlaneHandlers() {
  dataplane::PlaneHandlers handlers;
  handlers.on_request = [this](const dataplane::RequestRecord& record) {
    if (settings_.reports) {
      burn_.Add(ToSample(record), WallMicros());
    }
  };
  handlers.on_target = [this](world::TargetState state, uint32_t slots) {
    OnTarget(state, slots);
  };
  handlers.on_newer_revision = [this](Revision seen) {
    agent_->RequestRevision(seen);
  };
  handlers.on_file = [this](const wire::ActiveFile& file) {
    agent_->OfferActiveFile(file);
  };
  handlers.ask_quota =
      [this](const std::vector<wire::QuotaDemand>& demands,
             std::function<void(const std::vector<wire::QuotaTokens>&)> done) {
        if (agent_ != nullptr) {
          agent_->AskQuota(demands, std::move(done));
        }
      };
  handlers.present_file = [this]() -> std::optional<wire::ActiveFile> {
    return agent_ == nullptr ? std::nullopt : agent_->EncodeActiveFile();
  };
  return handlers;
}

control::NodeAgent::Handlers NodeProcess::MakeAgentHandlers() {
  control::NodeAgent::Handlers handlers;
  handlers.check = [this](const control::ConfigFile& file) {
    return CheckFile(file);
  };
  handlers.activate = [this](const control::ConfigFile& file) {
    Activate(file);
  };
  handlers.on_lease = [this](bool held) { OnLease(held); };
  handlers.status = [this] { return StatusJson(); };
  handlers.on_crashes = [this](const std::vector<world::CrashRecord>& records) {
    const std::vector<world::CrashRecord> corrections =
        plane_->LearnCrashes(records);
    if (!corrections.empty()) {
      agent_->ReportCrashes(corrections);
    }
  };
  handlers.on_departures = [this](const world::DepartedRuns& runs) {
    LearnDepartures(runs);
  };
  handlers.on_zones = [this](const std::set<ZoneName>& evacuated) {
    view_.SetEvacuatedZones(evacuated);
    plane_->ApplyZones();
  };
  return handlers;
}

std::string NodeProcess::CheckFile(const control::ConfigFile& file) {
  try {
    checked_fleet_ = std::make_shared<const world::Fleet>(
        options_.parse(file.text, "staged"));
    checked_digest_ = file.digest;
    const world::Region* region =
        world::FindRegionOf(*checked_fleet_, settings_.location.zone);
    if (checked_fleet_->regions.empty()) {
      return "";  // without regions, locations come only from the settings
    }
    if (region == nullptr || region->name != settings_.location.region) {
      return "node " + settings_.id.value + " stands in zone " +
             settings_.location.zone.value + " of region " +
             settings_.location.region.value + ", which the file does not name";
    }
  } catch (const InvalidInput& error) {
    return error.what();
  }
  return "";
}

void NodeProcess::Activate(const control::ConfigFile& file) {
  try {
    auto fleet = std::exchange(checked_fleet_, nullptr);
    if (fleet == nullptr || checked_digest_ != file.digest) {
      fleet = std::make_shared<const world::Fleet>(
          options_.parse(file.text, "active"));
    }
    if (settings_.reports) {
      burn_.Configure(*fleet);
    }
    view_.SetFleet(fleet, file.revision);
  } catch (const InvalidInput& error) {
    // Every member checks a file before it becomes active, so parsing can fail
    // here only on a node of another release. Such a node must not continue
    // with the older file.
    view_.SetFleet(nullptr, file.revision);
    LogEvent(kRevisionRefused,
             {{"revision", file.revision.value}, {"why", error.what()}});
    return;
  }
  active_since_us_ = WallMicros();
  LogEvent(kRevisionInForce,
           {{"revision", file.revision.value}, {"digest", ToHex(file.digest)}});
}

void NodeProcess::OnLease(bool held) {
  LogEvent(held ? kLeaseGained : kLeaseLost,
           {{"revision", view_.revision().value}});
}

void NodeProcess::OnTarget(world::TargetState state, uint32_t slots) {
  target_state_ = stopping_ && state == world::TargetState::kReady
                      ? world::TargetState::kDraining
                      : state;
  if (membership_ != nullptr && settings_.target) {
    membership_->SetTarget(settings_.target->service, target_state_,
                           slots > 0 ? slots : settings_.target->slots);
    // A target may also announce its departure with a response.
    if (const auto run = plane_->departing_run(); run && agent_ != nullptr) {
      RecordDeparture(*run, [](bool) {});
    }
  }
}

void NodeProcess::ServePages() {
  plane_->Serve(admin_);
  ServeNodePages(admin_, NodeComponents{*membership_, *plane_, *agent_, burn_},
                 [this] { return StatusJson(); });
}

std::string NodeProcess::StatusJson() const {
  nlohmann::json status = nlohmann::json::parse(plane_->StatusJson());
  status["id"] = settings_.id.value;
  status["incarnation"] = incarnation_.value;
  status["region"] = settings_.location.region.value;
  status["zone"] = settings_.location.zone.value;
  status["callers"] = world::ToString(plane_->callers());
  status["revision"] = view_.revision().value;
  status["since_us"] = active_since_us_;
  status["lease"] = agent_ != nullptr && agent_->lease_held();
  status["target"] = world::ToString(target_state_);
  status["stopping"] = stopping_;
  // Copied to the top level, where the table of `ibisctl status` reads them.
  if (status.contains("gate")) {
    status["in_flight"] = status["gate"].value("in_flight", 0);
    status["limit"] = status["gate"].value("limit", 0);
  }
  return status.dump();
}

}  // namespace ibisvalve::node

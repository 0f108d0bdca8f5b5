#include "control/keeper.h"

#include <algorithm>
#include <set>
#include <utility>

#include "control/claim_relay.h"
#include "control/control_port.h"
#include "control/departure.h"
#include "control/departure_relay.h"
#include "control/events.h"
#include "control/keeper_links.h"
#include "control/keeper_pages.h"
#include "control/known_index.h"
#include "control/leader_relay.h"
#include "control/member_plan.h"
#include "control/node_coordinator.h"
#include "control/node_sessions.h"
#include "control/quota_grants.h"
#include "control/replica_driver.h"
#include "control/zone_pages.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(200);

}  // namespace

// Owns the components of a keeper and dispatches frames to them.
class Keeper::Impl {
 public:
  Impl(net::EventLoop& loop,
       const KeeperSettings& settings,
       Checker checker,
       Editor editor);

  void HandleRequest(const net::AdminRequest& request,
                     const net::AdminServer::Reply& reply) {
    pages_.HandleRequest(request, reply);
  }
  void SetDiscoveredKeepers(const std::set<world::Endpoint>& running,
                            const std::set<world::Endpoint>& departed);
  void Leave(std::function<void()> done) { departure_.Start(std::move(done)); }
  void Serve(net::AdminServer& admin) {
    known_.Stamp(admin);
    pages_.Serve(admin);
  }
  void StampRequests(net::AdminServer& server) { known_.Stamp(server); }
  world::Endpoint control() const { return port_.local(); }
  void Collect(std::vector<MetricSample>& out) const;

 private:
  wire::KeeperHello Hello() const;
  void SendToReplica(const ReplicaMessage& message);
  void OnInbound(const ControlPort::Peer& peer,
                 wire::FrameType type,
                 std::string_view payload);
  bool OnReplicaFrame(wire::FrameType type, std::string_view payload);
  bool OnNodeFrame(const ControlPort::Peer& peer,
                   wire::FrameType type,
                   std::string_view payload);
  void OnKeeperFrame(const ControlPort::Peer& peer,
                     wire::FrameType type,
                     std::string_view payload);
  void OnLinkFrame(wire::FrameType type, std::string_view payload);
  void OnCrashReport(const wire::CrashReport& report);
  void OnHello(const world::Endpoint& endpoint, const wire::KeeperHello& hello);
  void OnFoundGroup(const wire::FoundGroup& found);
  void OnApplied(const wire::LogEntry* entry);
  void OnRoleChange();
  void Report(const wire::SessionReports& reports);
  void Maintain();
  void UpdateMembers();
  GroupView View() const;
  std::set<world::Endpoint> LinkEndpoints() const;

  net::EventLoop& loop_;
  KeeperSettings settings_;
  std::set<world::Endpoint> requested_;   // to be added by an operator
  std::set<world::Endpoint> discovered_;  // endpoints of discovered keepers
  std::set<world::Endpoint> departed_;    // of keepers that announced it
  Revision logged_staged_;
  Revision logged_active_;
  Revision logged_withdrawn_;
  ReplicaDriver driver_;
  KnownIndex known_;
  KeeperLinks links_;
  LeaderRelay relay_;
  Departure departure_;
  ClaimRelay claims_;
  DepartureRelay target_departures_;
  NodeSessions sessions_;
  NodeCoordinator coordinator_;
  FileTerms file_terms_;
  ZonePages zone_pages_;
  QuotaGrants quotas_;
  KeeperPages pages_;
  ControlPort port_;
  net::Timer maintenance_timer_;
};

Keeper::Impl::Impl(net::EventLoop& loop,
                   const KeeperSettings& settings,
                   Checker checker,
                   Editor editor)
    : loop_(loop),
      settings_(settings),
      driver_(
          loop,
          {settings.data, settings.may_found},
          settings.heartbeat,
          settings.election_timeout,
          {[this](const ReplicaMessage& message) { SendToReplica(message); },
           [this](const wire::LogEntry* entry) { OnApplied(entry); },
           [this] { OnRoleChange(); }, [this] { port_.CloseNodes(); }}),
      known_(driver_),
      links_(
          loop,
          {[this] { return Hello(); },
           [this](const world::Endpoint& endpoint,
                  const wire::KeeperHello& hello) { OnHello(endpoint, hello); },
           [this](wire::FrameType type, std::string_view payload) {
             OnLinkFrame(type, payload);
           }}),
      relay_(loop, driver_, links_),
      departure_(driver_, links_, relay_, [this] { return View(); }),
      claims_(driver_, links_, relay_),
      target_departures_(driver_, links_, relay_),
      sessions_(
          loop,
          driver_,
          [this](const wire::SessionReports& reports) { Report(reports); }),
      coordinator_(loop, driver_),
      file_terms_(driver_, checker),
      zone_pages_(driver_, coordinator_, file_terms_, settings.zones),
      quotas_(loop, driver_, links_, relay_, file_terms_),
      pages_({loop, driver_, known_, links_, relay_, coordinator_, zone_pages_},
             std::move(checker),
             std::move(editor),
             [this](const world::Endpoint& endpoint) {
               requested_.insert(endpoint);
               links_.SetEndpoints(LinkEndpoints());
             }),
      port_(
          loop,
          settings.control,
          {[this](const ControlPort::Peer& peer,
                  wire::FrameType type,
                  std::string_view payload) { OnInbound(peer, type, payload); },
           [this](const ControlPort::Peer& peer) {
             sessions_.OnClosed(peer);
           }}),
      maintenance_timer_(loop, [this] { Maintain(); }) {
  settings_.control = port_.local();
  Maintain();
  maintenance_timer_.StartPeriodic(kMaintenanceInterval);
}

wire::KeeperHello Keeper::Impl::Hello() const {
  return {driver_.replica().members().group,
          driver_.self(),
          settings_.id,
          settings_.control,
          driver_.store().may_found(),
          departure_.started()};
}

void Keeper::Impl::SendToReplica(const ReplicaMessage& message) {
  std::visit(
      [this](const auto& typed) {
        for (const auto& [endpoint, hello] : links_.Hellos()) {
          if (hello.replica == typed.to) {
            links_.Send(endpoint, typed);
          }
        }
      },
      message);
}

void Keeper::Impl::OnInbound(const ControlPort::Peer& peer,
                             wire::FrameType type,
                             std::string_view payload) {
  if (OnReplicaFrame(type, payload) || sessions_.OnFrame(peer, type, payload)) {
    return;
  }
  if (peer->node) {
    if (!OnNodeFrame(peer, type, payload)) {
      throw wire::WireError("unexpected frame type from a node");
    }
    return;
  }
  OnKeeperFrame(peer, type, payload);
}

bool Keeper::Impl::OnReplicaFrame(wire::FrameType type,
                                  std::string_view payload) {
  switch (type) {
    case wire::VoteRequest::kType:
      driver_.Receive(wire::Decode<wire::VoteRequest>(payload));
      return true;
    case wire::VoteReply::kType:
      driver_.Receive(wire::Decode<wire::VoteReply>(payload));
      return true;
    case wire::AppendRequest::kType:
      driver_.Receive(wire::Decode<wire::AppendRequest>(payload));
      return true;
    case wire::AppendReply::kType:
      driver_.Receive(wire::Decode<wire::AppendReply>(payload));
      return true;
    case wire::InstallSnapshot::kType:
      driver_.Receive(wire::Decode<wire::InstallSnapshot>(payload));
      return true;
    default:
      return false;
  }
}

bool Keeper::Impl::OnNodeFrame(const ControlPort::Peer& peer,
                               wire::FrameType type,
                               std::string_view payload) {
  const std::weak_ptr<InboundPeer> weak = peer;
  if (type == wire::ClaimRequest::kType) {
    claims_.OnClaim(
        wire::Decode<wire::ClaimRequest>(payload),
        [weak](const wire::ClaimReply& reply) { SendTo(weak, reply); });
    return true;
  }
  if (type == wire::QuotaRequest::kType) {
    quotas_.OnRequest(
        wire::Decode<wire::QuotaRequest>(payload),
        [weak](const wire::QuotaReply& reply) { SendTo(weak, reply); });
    return true;
  }
  if (type == wire::CrashReport::kType) {
    OnCrashReport(wire::Decode<wire::CrashReport>(payload));
    return true;
  }
  if (type == wire::DepartureRequest::kType) {
    auto request = wire::Decode<wire::DepartureRequest>(payload);
    request.node = peer->node->node;
    target_departures_.OnRequest(
        request,
        [weak](const wire::DepartureReply& reply) { SendTo(weak, reply); });
    return true;
  }
  if (type == wire::ClaimSettle::kType) {
    claims_.OnSettle(
        wire::Decode<wire::ClaimSettle>(payload),
        [weak](const wire::SettleReply& reply) { SendTo(weak, reply); });
    return true;
  }
  return false;
}

void Keeper::Impl::OnKeeperFrame(const ControlPort::Peer& peer,
                                 wire::FrameType type,
                                 std::string_view payload) {
  const std::weak_ptr<InboundPeer> weak = peer;
  switch (type) {
    case wire::KeeperHello::kType: {
      const auto hello = wire::Decode<wire::KeeperHello>(payload);
      const wire::GroupId own = driver_.replica().members().group;
      if (hello.group.value != 0 && own.value != 0 && hello.group != own) {
        LogEvent(kForeignGroup, {{"keeper", hello.id.value}});
        throw wire::WireError("keeper belongs to a different group");
      }
      peer->link->Send(Hello());
      return;
    }
    case wire::FoundGroup::kType:
      OnFoundGroup(wire::Decode<wire::FoundGroup>(payload));
      return;
    case wire::ForwardRequest::kType:
      pages_.OnForward(
          wire::Decode<wire::ForwardRequest>(payload),
          [weak](const wire::ForwardReply& reply) { SendTo(weak, reply); });
      return;
    case wire::CrashReport::kType:
      OnCrashReport(wire::Decode<wire::CrashReport>(payload));
      return;
    case wire::QuotaRequests::kType:
      quotas_.OnForwarded(
          wire::Decode<wire::QuotaRequests>(payload),
          [weak](const wire::QuotaReplies& replies) { SendTo(weak, replies); });
      return;
    case wire::LeaveRequest::kType:
      SendTo(weak,
             departure_.OnRequest(wire::Decode<wire::LeaveRequest>(payload)));
      return;
    case wire::SessionReports::kType:
      coordinator_.OnReports(
          wire::Decode<wire::SessionReports>(payload),
          [weak](const wire::SessionGrants& grants) { SendTo(weak, grants); });
      return;
    case wire::DepartureRequest::kType:
      target_departures_.OnForwarded(
          wire::Decode<wire::DepartureRequest>(payload),
          [weak](const wire::DepartureReply& reply) { SendTo(weak, reply); });
      return;
    case wire::ClaimRequest::kType:
      claims_.OnForwarded(
          wire::Decode<wire::ClaimRequest>(payload),
          [weak](const wire::ClaimReply& reply) { SendTo(weak, reply); });
      return;
    case wire::ClaimSettle::kType:
      claims_.OnForwarded(
          wire::Decode<wire::ClaimSettle>(payload),
          [weak](const wire::SettleReply& reply) { SendTo(weak, reply); });
      return;
    default:
      throw wire::WireError("unexpected frame type from a keeper");
  }
}

// Records crashes that the group does not know. A report that is lost is
// repeated by its node.
void Keeper::Impl::OnCrashReport(const wire::CrashReport& report) {
  const AddCrashes add{report.records, WallMicros()};
  if (!driver_.state().crashes().HasNews(add)) {
    return;
  }
  if (driver_.replica().leading()) {
    driver_.Propose(add, [](const std::optional<CommandResult>&) {});
  } else if (const auto leader = relay_.Leader()) {
    links_.Send(*leader, report);
  }
}

// Handles replies of other keepers on links that this keeper opened.
void Keeper::Impl::OnLinkFrame(wire::FrameType type, std::string_view payload) {
  switch (type) {
    case wire::ForwardReply::kType:
      pages_.OnForwardReply(wire::Decode<wire::ForwardReply>(payload));
      return;
    case wire::LeaveReply::kType:
      departure_.OnReply(wire::Decode<wire::LeaveReply>(payload));
      return;
    case wire::QuotaReplies::kType:
      quotas_.OnReplies(wire::Decode<wire::QuotaReplies>(payload));
      return;
    case wire::SessionGrants::kType:
      sessions_.SendGrants(wire::Decode<wire::SessionGrants>(payload));
      return;
    case wire::ClaimReply::kType:
      claims_.OnReply(wire::Decode<wire::ClaimReply>(payload));
      return;
    case wire::SettleReply::kType:
      claims_.OnReply(wire::Decode<wire::SettleReply>(payload));
      return;
    case wire::DepartureReply::kType:
      target_departures_.OnReply(wire::Decode<wire::DepartureReply>(payload));
      return;
    default:
      throw wire::WireError("unexpected frame type from a keeper");
  }
}

void Keeper::Impl::OnHello(const world::Endpoint& endpoint,
                           const wire::KeeperHello& hello) {
  const ReplicaLog& log = driver_.replica().log();
  const bool has_founding_entry = log.base_index() == 0 && log.last_index() > 0;
  if (hello.group.value != 0 || !has_founding_entry) {
    return;
  }
  // The peer has not received the founding entry yet. Any member may send it.
  const auto founding = wire::Decode<wire::KeeperMembers>(log.At(1).data);
  const bool is_member =
      std::any_of(founding.members.begin(), founding.members.end(),
                  [&](const wire::KeeperMember& member) {
                    return member.replica == hello.replica;
                  });
  if (is_member) {
    links_.Send(endpoint, wire::FoundGroup{founding});
  }
}

void Keeper::Impl::OnFoundGroup(const wire::FoundGroup& found) {
  const bool is_member =
      std::any_of(found.members.members.begin(), found.members.members.end(),
                  [this](const wire::KeeperMember& member) {
                    return member.replica == driver_.self();
                  });
  if (is_member) {
    driver_.FoundNewGroup(found.members);
  }
}

// `entry` is null after a snapshot has been installed.
void Keeper::Impl::OnApplied(const wire::LogEntry* entry) {
  const bool members =
      entry == nullptr || entry->kind == wire::EntryKind::kMembers;
  if (members) {
    departure_.OnMembersApplied();
  }
  if (members || driver_.state().zones().last_order() == entry->index) {
    known_.Refresh();
  }
  const ConfigHistory& config = driver_.state().config();
  const ConfigRecord* staged = config.staged();
  const ConfigRecord* active = config.active();
  if (staged != nullptr && staged->revision > logged_staged_) {
    logged_staged_ = staged->revision;
    LogEvent(kConfigStaged, {{"revision", staged->revision.value},
                             {"digest", ToHex(staged->digest)},
                             {"change", staged->change.value}});
  }
  if (active != nullptr && active->revision > logged_active_) {
    logged_active_ = active->revision;
    LogEvent(kConfigActive, {{"revision", active->revision.value},
                             {"digest", ToHex(active->digest)},
                             {"bytes", active->text.size()}});
  }
  const ConfigRecord* last =
      config.history().empty() ? nullptr : &config.history().back();
  if (last != nullptr && last->state == ConfigState::kWithdrawn &&
      last->revision > logged_withdrawn_) {
    logged_withdrawn_ = last->revision;
    LogEvent(kConfigWithdrawn,
             {{"revision", last->revision.value}, {"why", last->detail}});
  }
  if (coordinator_.OnApplied()) {
    sessions_.ReportAll();
  }
  quotas_.OnApplied();
  sessions_.OnApplied();
}

void Keeper::Impl::OnRoleChange() {
  coordinator_.OnRoleChange();
  quotas_.OnApplied();
  sessions_.ReportAll();
}

void Keeper::Impl::Report(const wire::SessionReports& reports) {
  if (driver_.replica().leading()) {
    coordinator_.OnReports(reports, [this](const wire::SessionGrants& grants) {
      sessions_.SendGrants(grants);
    });
  } else if (const auto leader = relay_.Leader()) {
    links_.Send(*leader, reports);
  }
}

void Keeper::Impl::Maintain() {
  links_.SetEndpoints(LinkEndpoints());
  const std::set<world::Endpoint> initial_keepers = [this] {
    std::set<world::Endpoint> set(settings_.keepers.begin(),
                                  settings_.keepers.end());
    if (!settings_.manages_membership) {
      set.insert(settings_.control);
    }
    return set;
  }();
  if (driver_.replica().log().last_index() == 0) {
    if (const auto founding =
            FoundingMembers(Hello(), initial_keepers, links_.Hellos())) {
      driver_.FoundNewGroup(*founding);
    }
  }
  UpdateMembers();
}

// Proposes the next membership change unless one is still uncommitted.
void Keeper::Impl::UpdateMembers() {
  const Replica& replica = driver_.replica();
  if (!replica.committed_in_term() ||
      replica.log().members_index() > replica.commit()) {
    return;
  }
  if (const auto next = NextMembers(View(), loop_.Now())) {
    driver_.ProposeMembers(*next);
  }
}

GroupView Keeper::Impl::View() const {
  const Replica& replica = driver_.replica();
  GroupView view{
      replica.members(),
      links_.Hellos(),
      replica.peers(),
      replica.commit(),
      settings_.election_timeout,
      settings_.manages_membership ? discovered_ : std::set<world::Endpoint>(),
      settings_.manages_membership,
      settings_.tolerated_disk_losses,
      {},
      departed_};
  for (const auto& [endpoint, hello] : view.hellos) {
    if (hello.leaving) {
      view.leaving.insert(hello.replica);
    }
  }
  if (departure_.started()) {
    view.leaving.insert(driver_.self());
  }
  return view;
}

std::set<world::Endpoint> Keeper::Impl::LinkEndpoints() const {
  std::set<world::Endpoint> endpoints = requested_;
  endpoints.insert(discovered_.begin(), discovered_.end());
  endpoints.insert(settings_.keepers.begin(), settings_.keepers.end());
  for (const wire::KeeperMember& member : driver_.replica().members().members) {
    endpoints.insert(member.control);
  }
  endpoints.erase(settings_.control);
  return endpoints;
}

void Keeper::Impl::SetDiscoveredKeepers(
    const std::set<world::Endpoint>& running,
    const std::set<world::Endpoint>& departed) {
  discovered_ = running;
  departed_ = departed;
  links_.SetEndpoints(LinkEndpoints());
}

void Keeper::Impl::Collect(std::vector<MetricSample>& out) const {
  const Replica& replica = driver_.replica();
  const ConfigHistory& config = driver_.state().config();
  const auto gauge = [&out](const std::string& name, uint64_t value) {
    out.push_back(MetricSample{name, {}, static_cast<double>(value), false});
  };
  const auto counter = [&out](const std::string& name, uint64_t value) {
    out.push_back(MetricSample{name, {}, static_cast<double>(value), true});
  };
  gauge("ibis_keeper_leading", replica.leading() ? 1 : 0);
  gauge("ibis_keeper_term", replica.term());
  gauge("ibis_keeper_commit", replica.commit());
  gauge("ibis_keeper_applied", driver_.state().applied());
  gauge("ibis_keeper_log_bytes", driver_.store().log_bytes());
  gauge("ibis_keeper_log_memory_bytes", replica.log().bytes());
  gauge("ibis_keeper_claims", driver_.state().claims().size());
  gauge("ibis_keeper_nodes", sessions_.size());
  gauge("ibis_keeper_departure_hosts", driver_.state().departures().size());
  gauge("ibis_config_active",
        config.active() == nullptr ? 0 : config.active()->revision.value);
  counter("ibis_keeper_syncs_total", driver_.store().syncs());
  counter("ibis_keeper_claims_answered_total", claims_.answered());
  counter("ibis_keeper_quota_tokens_total", quotas_.granted());
}

Keeper::Keeper(net::EventLoop& loop,
               const KeeperSettings& settings,
               Checker checker,
               Editor editor)
    : impl_(std::make_unique<Impl>(loop,
                                   settings,
                                   std::move(checker),
                                   std::move(editor))) {}

Keeper::~Keeper() = default;

void Keeper::HandleRequest(const net::AdminRequest& request,
                           const net::AdminServer::Reply& reply) {
  impl_->HandleRequest(request, reply);
}

void Keeper::SetDiscoveredKeepers(const std::set<world::Endpoint>& running,
                                  const std::set<world::Endpoint>& departed) {
  impl_->SetDiscoveredKeepers(running, departed);
}

void Keeper::Leave(std::function<void()> done) {
  impl_->Leave(std::move(done));
}

void Keeper::Serve(net::AdminServer& admin) {
  impl_->Serve(admin);
}

void Keeper::StampRequests(net::AdminServer& server) {
  impl_->StampRequests(server);
}

world::Endpoint Keeper::control() const {
  return impl_->control();
}

void Keeper::Collect(std::vector<MetricSample>& out) const {
  impl_->Collect(out);
}

}  // namespace ibisvalve::control

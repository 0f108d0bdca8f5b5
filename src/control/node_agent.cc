#include "control/node_agent.h"

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "control/connect_timeout.h"
#include "control/events.h"
#include "control/file_codec.h"
#include "control/lease_clock.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
// Time without a grant after which the agent switches to another keeper: two
// heartbeat intervals and an allowance for a slow heartbeat.
constexpr Duration kGrantTimeout = std::chrono::milliseconds(1200);
constexpr Duration kLeaveTimeout = std::chrono::seconds(1);
// A target takes a reply that comes within a second.
constexpr Duration kDepartureTimeout = std::chrono::milliseconds(800);

}  // namespace

class NodeAgent::Impl {
 public:
  Impl(net::EventLoop& loop,
       const std::vector<world::Endpoint>& keepers,
       const world::Member& self,
       Handlers handlers);

  Revision active() const { return report_.active; }
  bool lease_held() const { return lease_.HeldAt(loop_.Now()); }
  void SetKeepers(const std::vector<world::Endpoint>& keepers);
  void RequestRevision(Revision seen);
  void OfferActiveFile(const wire::ActiveFile& offered);
  std::optional<wire::ActiveFile> EncodeActiveFile();
  const std::optional<ConfigFile>& active_file() const { return active_file_; }
  void Claim(const wire::ClaimRequest& request,
             Duration timeout,
             std::function<void(const wire::ClaimReply&)> done);
  void Settle(const wire::ClaimSettle& settle);
  void RecordDeparture(const world::TargetRun& run,
                       std::function<void(bool)> done);
  void ReportCrashes(const std::vector<world::CrashRecord>& records);
  void AskQuota(
      const std::vector<wire::QuotaDemand>& demands,
      std::function<void(const std::vector<wire::QuotaTokens>&)> done);
  void Leave(std::function<void()> done);
  void Collect(std::vector<MetricSample>& out) const;

 private:
  struct PendingClaim {
    wire::ClaimRequest request;
    std::function<void(const wire::ClaimReply&)> done;
    uint64_t call = 0;  // call number chosen by the caller
    std::unique_ptr<net::Timer> timeout;
  };

  struct PendingDeparture {
    wire::DepartureRequest request;
    std::function<void(bool)> done;
    std::unique_ptr<net::Timer> timeout;
  };

  const world::Endpoint& NextKeeper() const;
  void Connect();
  void DropLink(const std::string& reason);
  void OnConnected();
  void OnFrame(wire::FrameType type, std::string_view payload);
  void OnGrant(const wire::LeaseGrant& grant);
  void OnUpdate(const wire::ConfigUpdate& update);
  std::string DecodeUpdate(const wire::ConfigUpdate& update) const;
  void OnZones(const wire::ZoneOrdersUpdate& update);
  void OnQuota(const wire::QuotaReply& reply);
  void OnClaimReply(wire::ClaimReply reply);
  void OnDepartureReply(uint64_t call, bool stored);
  void SendDepartures();
  void OnLeft();
  std::string Check(const ConfigFile& file) const;
  void Heartbeat();
  void Tick();
  void RecordProgress();
  void UpdateLeaseState();
  bool connected() const { return link_ && link_->connected(); }

  net::EventLoop& loop_;
  std::vector<world::Endpoint> keepers_;
  wire::FollowKeeper follow_;
  Handlers handlers_;
  std::map<world::Endpoint, Time> failed_;  // when each keeper last failed
  world::Endpoint link_keeper_;             // of the latest link
  std::unique_ptr<net::FrameLink> link_;
  Time granted_at_{};  // last grant, or opening of the link
  // When a part of an incomplete frame last arrived, and all bytes by then.
  Time progress_at_{};
  uint64_t arrived_bytes_ = 0;
  Time heartbeat_at_{};
  wire::NodeReport report_;
  std::string sent_status_;  // last sent on this link
  std::optional<ConfigFile> staged_;
  std::optional<ConfigFile> active_file_;  // active at this node
  wire::ActiveFile encoded_file_;          // encoded when a peer first asks
  LeaseClock lease_;
  bool reported_lease_ = false;
  uint64_t next_call_ = 1;
  std::map<uint64_t, PendingClaim> pending_claims_;
  std::map<std::pair<wire::RequestKey, wire::ClaimHolder>, wire::ClaimSettle>
      pending_settles_;
  std::map<uint64_t, PendingDeparture> pending_departures_;  // by call number
  // By call number; answered by the keeper of the present link, or never.
  std::map<uint64_t, std::function<void(const std::vector<wire::QuotaTokens>&)>>
      pending_quotas_;
  std::function<void()> on_left_;
  bool leaving_ = false;
  uint64_t closed_link_bytes_ = 0;  // sent and received on closed links
  uint64_t keeper_changes_ = 0;
  net::Timer tick_timer_;
  net::Timer lease_end_timer_;
  net::Timer leave_timer_;
};

NodeAgent::Impl::Impl(net::EventLoop& loop,
                      const std::vector<world::Endpoint>& keepers,
                      const world::Member& self,
                      Handlers handlers)
    : loop_(loop),
      keepers_(keepers),
      follow_{self.id,      self.incarnation, self.location,
              self.service, self.admin,       wire::GroupId()},
      handlers_(std::move(handlers)),
      tick_timer_(loop, [this] { Tick(); }),
      lease_end_timer_(loop, [this] { UpdateLeaseState(); }),
      leave_timer_(loop, [this] { OnLeft(); }) {
  CHECK(!keepers_.empty()) << "no keeper endpoint is configured";
  // The first keeper depends on the node id, so that nodes that start at the
  // same time spread over the keepers.
  std::rotate(
      keepers_.begin(),
      keepers_.begin() + static_cast<std::ptrdiff_t>(
                             std::hash<NodeId>()(self.id) % keepers_.size()),
      keepers_.end());
  Connect();
  tick_timer_.StartPeriodic(kTickInterval);
}

void NodeAgent::Impl::SetKeepers(const std::vector<world::Endpoint>& keepers) {
  if (keepers.empty() || keepers == keepers_) {
    return;
  }
  keepers_ = keepers;
  std::erase_if(failed_, [&](const auto& entry) {
    return std::find(keepers.begin(), keepers.end(), entry.first) ==
           keepers.end();
  });
}

// Returns the keeper to follow next: the first one that has not failed, or else
// the one that failed least recently.
const world::Endpoint& NodeAgent::Impl::NextKeeper() const {
  const auto failed_at = [this](const world::Endpoint& keeper) {
    const auto found = failed_.find(keeper);
    return found == failed_.end() ? Time() : found->second;
  };
  return *std::min_element(
      keepers_.begin(), keepers_.end(),
      [&](const world::Endpoint& a, const world::Endpoint& b) {
        return failed_at(a) < failed_at(b);
      });
}

void NodeAgent::Impl::RequestRevision(Revision seen) {
  if (seen > report_.active && connected()) {
    Heartbeat();
  }
}

void NodeAgent::Impl::Claim(const wire::ClaimRequest& request,
                            Duration timeout,
                            std::function<void(const wire::ClaimReply&)> done) {
  const uint64_t call = next_call_++;
  PendingClaim& pending = pending_claims_[call];
  pending.request = request;
  pending.request.call = call;
  pending.call = request.call;
  pending.done = std::move(done);
  pending.timeout = std::make_unique<net::Timer>(loop_, [this, call] {
    wire::ClaimReply unavailable;
    unavailable.call = call;
    OnClaimReply(unavailable);
  });
  pending.timeout->StartOnce(timeout);
  if (connected()) {
    link_->Send(pending.request);
  }
}

void NodeAgent::Impl::Settle(const wire::ClaimSettle& settle) {
  pending_settles_[{settle.key, settle.holder}] = settle;
  if (connected()) {
    link_->Send(settle);
  }
}

void NodeAgent::Impl::RecordDeparture(const world::TargetRun& run,
                                      std::function<void(bool)> done) {
  const uint64_t call = next_call_++;
  PendingDeparture& pending = pending_departures_[call];
  pending.request = {call, follow_.node, run};
  pending.done = std::move(done);
  pending.timeout = std::make_unique<net::Timer>(
      loop_, [this, call] { OnDepartureReply(call, false); });
  pending.timeout->StartOnce(kDepartureTimeout);
  if (connected()) {
    link_->Send(pending.request);
  }
}

void NodeAgent::Impl::OnDepartureReply(uint64_t call, bool stored) {
  const auto found = pending_departures_.find(call);
  if (found == pending_departures_.end()) {
    return;
  }
  // Its timer may be on the stack.
  const auto pending =
      std::make_shared<PendingDeparture>(std::move(found->second));
  pending_departures_.erase(found);
  loop_.Post([pending] {});
  pending->done(stored);
}

void NodeAgent::Impl::SendDepartures() {
  for (const auto& [call, pending] : pending_departures_) {
    link_->Send(pending.request);
  }
}

void NodeAgent::Impl::ReportCrashes(
    const std::vector<world::CrashRecord>& records) {
  if (connected()) {
    link_->Send(wire::CrashReport{records});
  }
}

void NodeAgent::Impl::AskQuota(
    const std::vector<wire::QuotaDemand>& demands,
    std::function<void(const std::vector<wire::QuotaTokens>&)> done) {
  if (connected()) {
    const uint64_t call = next_call_++;
    pending_quotas_[call] = std::move(done);
    link_->Send(wire::QuotaRequest{call, demands});
  }
}

void NodeAgent::Impl::OnQuota(const wire::QuotaReply& reply) {
  const auto found = pending_quotas_.find(reply.call);
  if (found != pending_quotas_.end()) {
    const auto done = std::move(found->second);
    // Replies come in the order of the questions, so earlier ones are lost.
    pending_quotas_.erase(pending_quotas_.begin(), std::next(found));
    done(reply.tokens);
  }
}

void NodeAgent::Impl::Leave(std::function<void()> done) {
  leaving_ = true;
  on_left_ = std::move(done);
  lease_.EndLease();
  UpdateLeaseState();
  if (connected()) {
    link_->Send(wire::LeaveKeeper{follow_.node, follow_.incarnation});
  }
  leave_timer_.StartOnce(kLeaveTimeout);
}

void NodeAgent::Impl::Collect(std::vector<MetricSample>& out) const {
  const uint64_t bytes =
      closed_link_bytes_ +
      (link_ ? link_->sent_bytes() + link_->received_bytes() : 0);
  const auto add = [&out](const std::string& name, uint64_t value,
                          bool counter) {
    out.push_back(MetricSample{name, {}, static_cast<double>(value), counter});
  };
  add("ibis_control_active_revision", report_.active.value, false);
  add("ibis_control_lease_held", lease_held() ? 1 : 0, false);
  add("ibis_control_bytes_total", bytes, true);
  add("ibis_control_keeper_changes_total", keeper_changes_, true);
}

void NodeAgent::Impl::Connect() {
  granted_at_ = progress_at_ = loop_.Now();
  arrived_bytes_ = 0;
  sent_status_.clear();
  link_keeper_ = NextKeeper();
  link_ = net::FrameLink::Connect(
      loop_, link_keeper_,
      {[this] { OnConnected(); },
       [this](wire::FrameType type, std::string_view payload) {
         OnFrame(type, payload);
       },
       [this](const std::string& reason) { DropLink(reason); }, nullptr});
}

// Drops the link and marks its keeper as failed. Tick connects to the next one.
void NodeAgent::Impl::DropLink(const std::string& reason) {
  if (!leaving_) {
    LogEvent(kKeeperLinkLost,
             {{"keeper", world::ToString(link_keeper_)},
              {"why", reason},
              {"received", link_->received_bytes()},
              {"partial", link_->arrived_bytes() - link_->received_bytes()}});
  }
  closed_link_bytes_ += link_->sent_bytes() + link_->received_bytes();
  pending_quotas_.clear();
  link_.reset();
  failed_[link_keeper_] = loop_.Now();
  ++keeper_changes_;
}

void NodeAgent::Impl::OnConnected() {
  granted_at_ = loop_.Now();
  link_->Send(follow_);
  Heartbeat();
  for (const auto& [call, pending] : pending_claims_) {
    link_->Send(pending.request);
  }
  for (const auto& [key, settle] : pending_settles_) {
    link_->Send(settle);
  }
  SendDepartures();
  if (leaving_) {
    link_->Send(wire::LeaveKeeper{follow_.node, follow_.incarnation});
  }
}

void NodeAgent::Impl::OnFrame(wire::FrameType type, std::string_view payload) {
  switch (type) {
    case wire::LeaseGrant::kType:
      OnGrant(wire::Decode<wire::LeaseGrant>(payload));
      return;
    case wire::ConfigUpdate::kType:
      OnUpdate(wire::Decode<wire::ConfigUpdate>(payload));
      return;
    case wire::ClaimReply::kType:
      OnClaimReply(wire::Decode<wire::ClaimReply>(payload));
      return;
    case wire::SettleReply::kType: {
      const auto reply = wire::Decode<wire::SettleReply>(payload);
      pending_settles_.erase({reply.key, reply.holder});
      return;
    }
    case wire::CrashReport::kType:
      if (handlers_.on_crashes) {
        handlers_.on_crashes(wire::Decode<wire::CrashReport>(payload).records);
      }
      return;
    case wire::DepartureReply::kType:
      OnDepartureReply(wire::Decode<wire::DepartureReply>(payload).call, true);
      return;
    case wire::QuotaReply::kType:
      OnQuota(wire::Decode<wire::QuotaReply>(payload));
      return;
    case wire::ZoneOrdersUpdate::kType:
      OnZones(wire::Decode<wire::ZoneOrdersUpdate>(payload));
      return;
    case wire::LeaveKeeper::kType:
      OnLeft();
      return;
    default:
      throw wire::WireError("unexpected frame type from a keeper");
  }
}

void NodeAgent::Impl::OnGrant(const wire::LeaseGrant& grant) {
  if (leaving_) {
    return;
  }
  granted_at_ = loop_.Now();
  if (handlers_.on_departures) {
    handlers_.on_departures(grant.departed);
  }
  lease_.RecordGrant(grant.number, grant.active,
                     Duration(static_cast<Duration::rep>(grant.lease_us)));
  UpdateLeaseState();
}

// Reports the new version at once, since the acknowledgement of the order waits
// for it.
void NodeAgent::Impl::OnZones(const wire::ZoneOrdersUpdate& update) {
  if (update.version <= report_.zones) {
    return;  // from a keeper that lags
  }
  report_.zones = update.version;
  LogEvent(kZonesReceived, {{"version", update.version},
                            {"evacuated", uint64_t{update.evacuated.size()}}});
  if (handlers_.on_zones) {
    handlers_.on_zones(update.evacuated);
  }
  Heartbeat();
}

void NodeAgent::Impl::OnUpdate(const wire::ConfigUpdate& update) {
  if (follow_.group.value != 0 && update.group != follow_.group) {
    LogEvent(kForeignGroup, {{"keeper", world::ToString(link_keeper_)}});
    throw wire::WireError("keeper belongs to a different group");
  }
  follow_.group = update.group;
  LogEvent(kFileReceived, {{"revision", update.revision.value},
                           {"in_force", update.active ? "yes" : "no"},
                           {"bytes", uint64_t{update.encoded_text.size()}},
                           {"from", world::ToString(link_keeper_)},
                           {"present", report_.active.value}});
  if (update.revision <= report_.active) {
    return;  // outdated
  }
  const bool is_staged = staged_ && staged_->revision == update.revision &&
                         staged_->digest == update.digest;
  if (!is_staged) {
    const ConfigFile file{update.revision, update.digest, DecodeUpdate(update)};
    const std::string refusal = Check(file);
    if (!refusal.empty()) {
      report_.refused = update.revision;
      report_.refusal_reason = refusal;
      LogEvent(kConfigRefused,
               {{"revision", update.revision.value}, {"why", refusal}});
      Heartbeat();
      return;
    }
    staged_ = file;
  }
  report_.staged = update.revision;
  if (update.active) {
    report_.active = update.revision;
    active_file_ = std::exchange(staged_, std::nullopt);
    handlers_.activate(*active_file_);
    lease_.RecordActivation(update.revision);
    UpdateLeaseState();
  }
  Heartbeat();
}

// Returns the text of `update`. Throws WireError if this node does not have its
// base: the keeper then learns from the first report on a new link what it has.
std::string NodeAgent::Impl::DecodeUpdate(
    const wire::ConfigUpdate& update) const {
  if (update.base == Revision()) {
    return DecodeText(update.encoded_text, "");
  }
  if (!active_file_ || active_file_->revision != update.base) {
    throw wire::WireError("a file is based on revision " +
                          std::to_string(update.base.value) +
                          ", which this node does not have");
  }
  return DecodeText(update.encoded_text, active_file_->text);
}

void NodeAgent::Impl::OfferActiveFile(const wire::ActiveFile& offered) {
  LogEvent(kFileReceived, {{"revision", offered.revision.value},
                           {"in_force", "yes"},
                           {"bytes", uint64_t{offered.encoded_text.size()}},
                           {"from", "peer"},
                           {"present", report_.active.value}});
  if (leaving_ || offered.revision <= report_.active) {
    return;
  }
  std::optional<ConfigFile> file;
  std::string refusal;
  try {
    file = {offered.revision, offered.digest,
            DecodeText(offered.encoded_text, "")};
    refusal = Check(*file);
  } catch (const wire::WireError& error) {
    refusal = error.what();
  }
  if (!refusal.empty()) {
    LogEvent(kConfigRefused,
             {{"revision", offered.revision.value}, {"why", refusal}});
    return;
  }
  active_file_ = std::move(file);
  report_.staged = report_.active = offered.revision;
  handlers_.activate(*active_file_);
  lease_.RecordActivation(offered.revision);
  UpdateLeaseState();
}

std::optional<wire::ActiveFile> NodeAgent::Impl::EncodeActiveFile() {
  if (!active_file_) {
    return std::nullopt;
  }
  if (encoded_file_.revision != active_file_->revision) {
    encoded_file_ = {active_file_->revision, active_file_->digest,
                     EncodeText(active_file_->text, "")};
  }
  return encoded_file_;
}

void NodeAgent::Impl::OnClaimReply(wire::ClaimReply reply) {
  const auto found = pending_claims_.find(reply.call);
  if (found == pending_claims_.end()) {
    return;
  }
  const PendingClaim pending = std::move(found->second);
  pending_claims_.erase(found);
  if (reply.verdict == wire::ClaimVerdict::kUnavailable) {
    // The claim may have been granted or may still be, so it is released.
    Settle(wire::ClaimSettle{pending.request.key, pending.request.holder, 0});
  }
  reply.call = pending.call;
  pending.done(reply);
}

void NodeAgent::Impl::OnLeft() {
  leave_timer_.Stop();
  if (const auto done = std::exchange(on_left_, nullptr)) {
    done();
  }
}

std::string NodeAgent::Impl::Check(const ConfigFile& file) const {
  if (DigestOf(file.text) != file.digest) {
    return "the digest of the file is wrong";
  }
  return handlers_.check(file);
}

void NodeAgent::Impl::Heartbeat() {
  if (!connected() || leaving_) {
    return;
  }
  const Time now = loop_.Now();
  const std::string status = handlers_.status ? handlers_.status() : "";
  ++report_.number;
  heartbeat_at_ = now;
  lease_.RecordHeartbeat(report_.number, now);
  link_->Send(
      wire::NodeHeartbeat{report_, status == sent_status_ ? "" : status});
  sent_status_ = status;
}

void NodeAgent::Impl::Tick() {
  const Time now = loop_.Now();
  if (!link_) {
    Connect();
    return;
  }
  if (!link_->connected() && now >= granted_at_ + kKeeperConnectTimeout) {
    DropLink("no connection in time");
    Connect();
    return;
  }
  RecordProgress();
  if (now >= std::max(granted_at_, progress_at_) + kGrantTimeout && !leaving_) {
    // The keeper may be partitioned from the others.
    DropLink("no lease grant in time");
    return;
  }
  if (now >= heartbeat_at_ + kHeartbeatInterval - kTickInterval / 2) {
    Heartbeat();
    for (const auto& [key, settle] : pending_settles_) {
      link_->Send(settle);
    }
  }
  UpdateLeaseState();
}

// Records whether more of a large frame has arrived. Grants wait behind it, so
// their absence does not mean that the keeper has none to send.
void NodeAgent::Impl::RecordProgress() {
  const uint64_t arrived = link_->arrived_bytes();
  if (arrived != std::exchange(arrived_bytes_, arrived) &&
      arrived > link_->received_bytes()) {
    progress_at_ = loop_.Now();
  }
}

void NodeAgent::Impl::UpdateLeaseState() {
  const bool held = lease_held();
  if (held) {
    lease_end_timer_.StartOnce(lease_.until() - loop_.Now());
  }
  if (held == std::exchange(reported_lease_, held)) {
    return;
  }
  LogEvent(held ? kLeaseGained : kLeaseLost,
           {{"revision", report_.active.value},
            {"keeper", world::ToString(link_keeper_)},
            {"until_ms", ToMillis(lease_.until() - loop_.Now())},
            {"granted_ms", ToMillis(loop_.Now() - granted_at_)}});
  handlers_.on_lease(held);
}

NodeAgent::NodeAgent(net::EventLoop& loop,
                     const std::vector<world::Endpoint>& keepers,
                     const world::Member& self,
                     Handlers handlers)
    : impl_(std::make_unique<Impl>(loop, keepers, self, std::move(handlers))) {}

NodeAgent::~NodeAgent() = default;

Revision NodeAgent::active() const {
  return impl_->active();
}

bool NodeAgent::lease_held() const {
  return impl_->lease_held();
}

void NodeAgent::SetKeepers(const std::vector<world::Endpoint>& keepers) {
  impl_->SetKeepers(keepers);
}

void NodeAgent::OfferActiveFile(const wire::ActiveFile& offered) {
  impl_->OfferActiveFile(offered);
}

std::optional<wire::ActiveFile> NodeAgent::EncodeActiveFile() {
  return impl_->EncodeActiveFile();
}

const std::optional<ConfigFile>& NodeAgent::active_file() const {
  return impl_->active_file();
}

void NodeAgent::RequestRevision(Revision seen) {
  impl_->RequestRevision(seen);
}

void NodeAgent::Claim(const wire::ClaimRequest& request,
                      Duration timeout,
                      std::function<void(const wire::ClaimReply&)> done) {
  impl_->Claim(request, timeout, std::move(done));
}

void NodeAgent::Settle(const wire::ClaimSettle& settle) {
  impl_->Settle(settle);
}

void NodeAgent::RecordDeparture(const world::TargetRun& run,
                                std::function<void(bool)> done) {
  impl_->RecordDeparture(run, std::move(done));
}

void NodeAgent::ReportCrashes(const std::vector<world::CrashRecord>& records) {
  impl_->ReportCrashes(records);
}

void NodeAgent::AskQuota(
    const std::vector<wire::QuotaDemand>& demands,
    std::function<void(const std::vector<wire::QuotaTokens>&)> done) {
  impl_->AskQuota(demands, std::move(done));
}

void NodeAgent::Leave(std::function<void()> done) {
  impl_->Leave(std::move(done));
}

void NodeAgent::Collect(std::vector<MetricSample>& out) const {
  impl_->Collect(out);
}

}  // namespace ibisvalve::control

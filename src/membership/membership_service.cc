#include "membership/membership_service.h"

#include <deque>
#include <utility>

#include "membership/events.h"
#include "membership/gossip.h"

namespace ibisvalve::membership {
namespace {

using world::Member;
using world::MemberState;

constexpr int kTicksPerPeriod = 4;
// A target takes a reply that comes within a second.
constexpr Duration kDepartureTimeout = std::chrono::milliseconds(800);
constexpr Duration kBadDatagramLogInterval = std::chrono::seconds(10);

void LogChange(const Member& member) {
  const bool dead = member.state == MemberState::kDead;
  const bool held = member.state == MemberState::kUnreachable;
  LogEvent(dead   ? kMemberDead
           : held ? kMemberUnreachable
                  : kMemberChanged,
           {{"node", member.id.value},
            {"zone", member.location.zone.value},
            {"state", world::ToString(member.state)},
            {"service", member.service.value},
            {"target", world::ToString(member.target)},
            {"incarnation", member.incarnation.value},
            {"version", member.version}});
}

}  // namespace

/// Runs the protocol on a UDP socket and a periodic timer.
class MembershipService::Impl {
 public:
  Impl(net::EventLoop& loop,
       const MembershipSettings& settings,
       const Member& self,
       Observer observer)
      : loop_(loop),
        observer_(std::move(observer)),
        socket_(loop,
                self.gossip,
                [this](const world::Endpoint& from, std::string_view bytes) {
                  OnDatagram(from, bytes);
                }),
        gossip_(settings, WithBoundEndpoint(self), self.incarnation.value),
        timer_(loop, [this] {
          Perform(gossip_.Tick(loop_.Now()));
          GiveUpDepartures();
        }) {
    LogEvent(kStarted, {{"node", gossip_.self().id.value},
                        {"gossip", world::ToString(gossip_.self().gossip)},
                        {"incarnation", gossip_.self().incarnation.value}});
    timer_.StartPeriodic(settings.period / kTicksPerPeriod);
    // Delays the first tick until the constructor has returned, because the
    // observer may use the MembershipService that is still being built.
    start_.StartOnce(Duration(0));
  }

  void SetTarget(const ServiceName& service,
                 world::TargetState state,
                 uint32_t slots) {
    Perform(gossip_.SetTarget(service, state, slots, loop_.Now()));
  }

  void SetHostedRun(Digest run) {
    Perform(gossip_.SetHostedRun(run, loop_.Now()));
  }

  void SetSeeds(const std::vector<world::Endpoint>& seeds) {
    gossip_.SetSeeds(seeds);
  }

  void RecordDeparture(const world::TargetRun& run,
                       std::function<void(bool)> done) {
    departures_.push_back(
        {run, std::move(done), loop_.Now() + kDepartureTimeout});
    Perform(gossip_.RecordDeparture(run, loop_.Now()));
  }

  void Leave(std::function<void()> done) {
    on_left_ = std::move(done);
    Perform(gossip_.Leave(loop_.Now()));
  }

  const Gossip& gossip() const { return gossip_; }

  void Collect(std::vector<MetricSample>& out) const {
    std::map<MemberState, uint32_t> counts;
    for (const auto& [id, member] : gossip_.table().members()) {
      ++counts[member.state];
    }
    for (const auto& [state, count] : counts) {
      out.push_back({"ibis_membership_members",
                     {{"state", world::ToString(state)}},
                     static_cast<double>(count)});
    }
    out.push_back({"ibis_membership_sent_bytes_total",
                   {},
                   static_cast<double>(gossip_.sent_bytes()),
                   true});
    out.push_back({"ibis_membership_sent_datagrams_total",
                   {},
                   static_cast<double>(gossip_.sent_datagrams()),
                   true});
    out.push_back({"ibis_membership_bad_datagrams_total",
                   {},
                   static_cast<double>(bad_datagrams_),
                   true});
  }

 private:
  Member WithBoundEndpoint(Member self) const {
    self.gossip = socket_.local();
    return self;
  }

  void OnDatagram(const world::Endpoint& from, std::string_view bytes) {
    try {
      Perform(gossip_.Receive(from, bytes, loop_.Now()));
    } catch (const wire::WireError& error) {
      ++bad_datagrams_;
      if (loop_.Now() - bad_logged_ >= kBadDatagramLogInterval) {
        bad_logged_ = loop_.Now();
        LogEvent(kBadDatagram,
                 {{"from", world::ToString(from)}, {"why", error.what()}});
      }
    }
  }

  void Perform(const GossipActions& actions) {
    for (const Datagram& datagram : actions.datagrams) {
      socket_.Send(datagram.to, datagram.bytes);
    }
    for (const IdentityClash& clash : actions.clashes) {
      LogEvent(clash.lost ? kIdentityTaken : kIdentityClaimedTwice,
               {{"node", gossip_.self().id.value},
                {"incarnation", gossip_.self().incarnation.value},
                {"other_incarnation", clash.other.value},
                {"other_endpoint", world::ToString(clash.endpoint)}});
    }
    if (gossip_.table().overflowed() && !overflow_logged_) {
      overflow_logged_ = true;
      LogEvent(kTableFull, {{"members", gossip_.table().members().size()}});
    }
    for (const Member& member : actions.changed) {
      LogChange(member);
      observer_(member);
    }
    if (actions.departure_recorded) {
      for (const PendingDeparture& pending : std::exchange(departures_, {})) {
        pending.done(gossip_.self().departed.Covers(pending.run));
      }
    }
    if (actions.left && on_left_) {
      std::exchange(on_left_, nullptr)();
    }
  }

  void GiveUpDepartures() {
    const Time now = loop_.Now();
    while (!departures_.empty() && now >= departures_.front().deadline) {
      const PendingDeparture pending = std::move(departures_.front());
      departures_.pop_front();
      pending.done(false);
    }
  }

  struct PendingDeparture {
    world::TargetRun run;
    std::function<void(bool)> done;
    Time deadline;
  };

  net::EventLoop& loop_;
  Observer observer_;
  net::DatagramSocket socket_;
  Gossip gossip_;
  net::Timer timer_;
  net::Timer start_{loop_, [this] { Perform(gossip_.Tick(loop_.Now())); }};
  std::function<void()> on_left_;
  std::deque<PendingDeparture> departures_;  // in order of their deadlines
  uint64_t bad_datagrams_ = 0;
  Time bad_logged_;
  bool overflow_logged_ = false;
};

MembershipService::MembershipService(net::EventLoop& loop,
                                     const MembershipSettings& settings,
                                     const Member& self,
                                     Observer observer)
    : impl_(std::make_unique<Impl>(loop, settings, self, std::move(observer))) {
}

MembershipService::~MembershipService() = default;

void MembershipService::SetTarget(const ServiceName& service,
                                  world::TargetState state,
                                  uint32_t slots) {
  impl_->SetTarget(service, state, slots);
}

void MembershipService::RecordDeparture(const world::TargetRun& run,
                                        std::function<void(bool)> done) {
  impl_->RecordDeparture(run, std::move(done));
}

void MembershipService::SetHostedRun(Digest run) {
  impl_->SetHostedRun(run);
}

bool MembershipService::joined() const {
  return impl_->gossip().joined();
}

void MembershipService::SetSeeds(const std::vector<world::Endpoint>& seeds) {
  impl_->SetSeeds(seeds);
}

void MembershipService::Leave(std::function<void()> done) {
  impl_->Leave(std::move(done));
}

const std::map<NodeId, Member>& MembershipService::members() const {
  return impl_->gossip().table().members();
}

const Member& MembershipService::self() const {
  return impl_->gossip().self();
}

bool MembershipService::replaced() const {
  return impl_->gossip().replaced();
}

uint64_t MembershipService::sent_bytes() const {
  return impl_->gossip().sent_bytes();
}

void MembershipService::Collect(std::vector<MetricSample>& out) const {
  impl_->Collect(out);
}

}  // namespace ibisvalve::membership

#include "node/keeper_process.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/events.h"
#include "observe/observe.h"

namespace ibisvalve::node {
namespace {

control::KeeperSettings ToKeeperSettings(const config::Settings& settings) {
  control::KeeperSettings keeper;
  keeper.id = settings.id;
  keeper.control = settings.control;
  keeper.data = settings.data;
  keeper.keepers = settings.keepers;
  keeper.zones = settings.zones;
  keeper.may_found = settings.group.found;
  keeper.manages_membership = settings.group.grow;
  keeper.election_timeout = settings.group.election;
  keeper.tolerated_disk_losses = settings.group.tolerated_disk_losses;
  return keeper;
}

control::CheckedFile CheckText(const KeeperOptions& options,
                               const std::string& text) {
  try {
    const world::Fleet fleet = options.parse(text, "applied file");
    control::CheckedFile checked{
        "",
        fleet.control.lease,
        fleet.control.apply == world::ApplyRule::kMajority,
        {},
        {}};
    for (const world::Region& region : fleet.regions) {
      checked.zones.insert(checked.zones.end(), region.zones.begin(),
                           region.zones.end());
    }
    if (fleet.workspaces) {
      for (const world::Workspace& workspace : *fleet.workspaces) {
        if (workspace.quota) {
          checked.quotas[workspace.name] = *workspace.quota;
        }
      }
    }
    return checked;
  } catch (const InvalidInput& error) {
    control::CheckedFile refused;
    refused.findings = error.what();
    return refused;
  }
}

}  // namespace

KeeperProcess::KeeperProcess(net::EventLoop& loop,
                             const config::Settings& settings,
                             const KeeperOptions& options)
    : loop_(loop),
      admin_(loop, settings.admin),
      keeper_(
          loop,
          ToKeeperSettings(settings),
          [options](const std::string& text) {
            return CheckText(options, text);
          },
          options.edit) {
  keeper_.Serve(admin_);
  ServePages();
  if (!settings.gossip.ip.empty()) {
    StartMembership(settings);
  }
  LogEvent(kProcessStarted, {{"role", "keeper"},
                             {"id", settings.id.value},
                             {"control", world::ToString(keeper_.control())},
                             {"admin", world::ToString(admin_.local())}});
}

void KeeperProcess::Reload(const config::Settings& settings) {
  if (membership_ != nullptr) {
    membership_->SetSeeds(settings.seeds);
  }
}

void KeeperProcess::Stop(std::function<void()> done) {
  if (std::exchange(stopping_, true)) {
    return;
  }
  keeper_.Leave([this, done = std::move(done)] {
    if (membership_ == nullptr) {
      done();
    } else {
      membership_->Leave(done);
    }
  });
}

void KeeperProcess::StartMembership(const config::Settings& settings) {
  world::Member self;
  self.id = settings.id;
  self.incarnation = NewIncarnation();
  self.location = settings.location;
  self.gossip = settings.gossip;
  self.admin = admin_.local();
  self.control = keeper_.control();
  membership::MembershipSettings gossip;
  gossip.seeds = settings.seeds;
  membership_ = std::make_unique<membership::MembershipService>(
      loop_, gossip, self, [this](const world::Member& member) {
        if (!member.control.ip.empty()) {
          UpdateKeepers();
        }
      });
}

void KeeperProcess::UpdateKeepers() {
  std::set<world::Endpoint> running;
  std::set<world::Endpoint> departed;
  for (const auto& [id, member] : membership_->members()) {
    if (world::IsLiveKeeper(member) && member.control != keeper_.control()) {
      running.insert(member.control);
    } else if (member.state == world::MemberState::kLeft &&
               !member.control.ip.empty()) {
      departed.insert(member.control);
    }
  }
  // A keeper with another id may run at the endpoint of one that left.
  std::erase_if(departed, [&](const world::Endpoint& endpoint) {
    return running.contains(endpoint);
  });
  keeper_.SetDiscoveredKeepers(running, departed);
}

void KeeperProcess::ServePages() {
  admin_.Handle("GET", "/healthz", [](const auto&, const auto& reply) {
    reply({200, "application/json", R"({"ready":true})"});
  });
  admin_.Handle("GET", "/metrics", [this](const auto&, const auto& reply) {
    std::vector<MetricSample> samples;
    keeper_.Collect(samples);
    samples.push_back({"ibis_log_dropped_lines_total",
                       {},
                       static_cast<double>(DroppedLogLines()),
                       true});
    reply({200, "text/plain; version=0.0.4", observe::RenderMetrics(samples)});
  });
}

}  // namespace ibisvalve::node

#pragma once

#include <algorithm>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "dataplane/crashing_target.h"
#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {

inline const TargetRequest kPoison{"GET", "/poison", {}, ""};
/// The same as a request that may not be repeated.
inline const TargetRequest kPoisonOnce{"POST",
                                       "/poison",
                                       {},
                                       "one attempt only"};
inline constexpr Duration kDowntime = std::chrono::milliseconds(150);

/// Fixture with targets that end at each request for /poison and start again
/// soon. A request may crash two targets before it is quarantined.
class RepeatedCrashTest : public PlaneTest {
 protected:
  static constexpr int kMaxCrashes = 2;

  RepeatedCrashTest() {
    // All hosts are of one service, so that a request is the very same one
    // wherever it begins.
    caller_service_ = service_.name;
    service_.contracts.push_back({{{kPoisonOnce.method}},
                                  kPoisonOnce.uri,
                                  world::Repeat::kNever,
                                  world::KeyRule::kOptional,
                                  {}});
  }

  struct Host {
    std::unique_ptr<CrashingTarget> target;
    Node* node = nullptr;
  };

  // Starts an ingress without a target and `hosts` nodes with one.
  void Start(int hosts) {
    ingress_ = &AddNode("suva-0", nullptr);
    for (int i = 0; i < hosts; ++i) {
      AddHost();
    }
  }

  Host& AddHost() {
    const auto host = std::make_unique<Host>();
    host->target = std::make_unique<CrashingTarget>(loop_, downtime_);
    host->node =
        &AddNode("suva-" + std::to_string(++next_host_), host->target->local());
    WaitReady(*host->node);
    hosts_.push_back(std::move(*host));
    return hosts_.back();
  }

  // Stops the node of `host` without notice, as its peers see it.
  void KillNode(Host& host) {
    world::Member gone = host.node->member;
    std::erase_if(nodes_, [&](const std::unique_ptr<Node>& node) {
      return node.get() == host.node;
    });
    host.node = nullptr;
    gone.state = world::MemberState::kDead;
    UpdateMember(gone);
  }

  int Crashes() const {
    int crashes = 0;
    for (const Host& host : hosts_) {
      crashes += host.target->crashes();
    }
    return crashes;
  }

  // Returns the number of requests that the targets are running.
  size_t Waiting() const {
    size_t waiting = 0;
    for (const Host& host : hosts_) {
      waiting += host.target->waiting();
    }
    return waiting;
  }

  bool AllRunning() const {
    return std::all_of(hosts_.begin(), hosts_.end(), [](const Host& host) {
      return host.target->running() &&
             (host.node == nullptr ||
              host.node->member.target == world::TargetState::kReady);
    });
  }

  // Returns the number of nodes that cannot reach their targets.
  size_t DownNodes() const {
    return static_cast<size_t>(
        std::count_if(hosts_.begin(), hosts_.end(), [](const Host& host) {
          return host.node->member.target == world::TargetState::kDown;
        }));
  }

  // Sends the request `count` times through `node`, each time once all targets
  // are ready.
  CallerResponse SendPoison(const Node& node, int count) {
    CallerResponse last;
    for (int i = 0; i < count; ++i) {
      RunUntil([this] { return AllRunning(); });
      last = Fetch(node, kPoison);
    }
    RunUntil([this] { return AllRunning(); });
    return last;
  }

  Duration downtime_ = kDowntime;  // of a target after a crash
  Node* ingress_ = nullptr;
  std::list<Host> hosts_;
  int next_host_ = 0;
};

}  // namespace ibisvalve::dataplane

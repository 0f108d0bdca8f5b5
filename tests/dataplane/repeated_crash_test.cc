#include <list>

#include "dataplane/fault_relay.h"
#include "dataplane/repeated_crash_fixture.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;

// Guards against a gate that misses crashes because its own target is down.
TEST_F(RepeatedCrashTest, AGateWhoseTargetIsDownLearnsOfOtherCrashes) {
  Start(3);
  Fetch(*ingress_, kPoisonOnce);
  ASSERT_EQ(Crashes(), 1);
  RunUntil([this] { return DownNodes() == 1; });
  Fetch(*ingress_, kPoisonOnce);
  ASSERT_EQ(Crashes(), 2);
  // An ingress that has not seen the crashes sends to each gate.
  const Node& other = AddNode("suva-9", nullptr);
  CallerResponse last;
  for (int i = 0; i < 40; ++i) {
    RunUntil([this] { return AllRunning(); });
    last = Fetch(other, kPoisonOnce);
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
  EXPECT_EQ(last.status, 503);
  EXPECT_EQ(last.Get("Ibis-Reason"), "quarantined");
}

// Guards against crash evidence that is lost when the connections of several
// requests break at the same crash.
TEST_F(RepeatedCrashTest, OtherRequestsInFlightDoNotHideTheOneThatCrashes) {
  Start(5);
  int sent = 0;
  for (int round = 0; round < 12; ++round) {
    RunUntil([this] { return AllRunning(); });
    for (size_t i = 0; i < 3 * hosts_.size(); ++i) {
      Send(*ingress_, {"GET", "/slow/" + std::to_string(++sent), {}, ""});
    }
    RunUntil([&] { return Waiting() == 3 * hosts_.size(); });
    Fetch(*ingress_, kPoison);
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against a gate that runs a request which was quarantined elsewhere
// while it waited for a slot.
TEST_F(RepeatedCrashTest, ARequestThatWaitsWhenItIsQuarantinedIsNotRun) {
  constexpr int kHosts = 3;
  service_.limits.queue = std::chrono::seconds(2);
  slots_ = 1;
  Start(kHosts);
  // Each ingress sees the target of one host only.
  std::vector<Node*> ingresses;
  ingresses.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    ingresses.push_back(&AddNode("nadi-" + std::to_string(i), nullptr));
  }
  for (int i = 0; i < kHosts; ++i) {
    int number = 0;
    for (const Host& host : hosts_) {
      if (number++ != i) {
        world::Member hidden = host.node->member;
        hidden.target = world::TargetState::kDraining;
        ingresses[i]->view.SetMember(hidden);
      }
    }
  }
  // The slots become free one after the other.
  const Time start = loop_.Now();
  Duration next(0);
  const auto run_until = [&](Duration at) {
    RunUntil([&] { return loop_.Now() - start >= at; });
  };
  for (const Node* ingress : ingresses) {
    Send(*ingress, {"GET", "/slow/" + ingress->member.id.value, {}, ""});
    run_until(next += milliseconds(30));
  }
  std::shared_ptr<CallerResponse> last;
  for (const Node* ingress : ingresses) {
    last = Send(*ingress, kPoisonOnce);
  }
  RunUntil([this] { return ended_ == sent_; });
  EXPECT_EQ(Crashes(), kMaxCrashes);
  EXPECT_EQ(last->status, 503);
  EXPECT_EQ(last->Get("Ibis-Reason"), "quarantined");
}

// Guards against a second crash that is taken for the first one, because the
// target was back within milliseconds.
TEST_F(RepeatedCrashTest, ATargetThatIsBackAtOnceCountsEachCrash) {
  downtime_ = milliseconds(2);
  Start(1);
  for (int i = 0; i < 6; ++i) {
    RunUntil([this] { return AllRunning(); });
    Fetch(*ingress_, kPoisonOnce);
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against targets that join after a quarantine and run its request.
TEST_F(RepeatedCrashTest, GatesThatJoinLaterRefuseAQuarantinedRequest) {
  Start(5);
  SendPoison(*ingress_, 5);
  ASSERT_EQ(Crashes(), kMaxCrashes);
  for (int join = 0; join < 4; ++join) {
    AddHost();
    SendPoison(*ingress_, 15);
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against a node that joins after a quarantine and takes the request
// from a caller of its own before it has talked to any other node.
TEST_F(RepeatedCrashTest, AnIngressThatJoinsLaterKnowsOfTheQuarantine) {
  Start(5);
  SendPoison(*ingress_, 5);
  ASSERT_EQ(Crashes(), kMaxCrashes);
  for (int join = 0; join < 4; ++join) {
    const Host& joined = AddHost();
    SendPoison(*joined.node, 15);
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against a restart of a gate that forgets the quarantines.
TEST_F(RepeatedCrashTest, ARestartedGateRefusesAQuarantinedRequest) {
  Start(3);
  SendPoison(*ingress_, 5);
  ASSERT_EQ(Crashes(), kMaxCrashes);
  for (Host& host : hosts_) {
    const NodeId id = host.node->member.id;
    KillNode(host);
    host.node = &AddNode(id.value, host.target->local());
    WaitReady(*host.node);
    SendPoison(*host.node, 5);
    SendPoison(*ingress_, 5);
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against a gate that runs a quarantined request because the notices
// were lost on a broken path to it.
TEST_F(RepeatedCrashTest, AGateThatWasCutOffLearnsOfCrashesAfterwards) {
  Start(3);
  Host& cut = hosts_.back();
  FaultRelay relay(loop_);
  const world::Endpoint mesh = cut.node->member.mesh;
  cut.node->member.mesh = relay.local();
  relay.SetTarget({"127.0.0.1", 1});
  UpdateMember(cut.node->member);
  SendPoison(*ingress_, 5);
  const int before = Crashes();
  relay.SetTarget(mesh);
  RunUntil([&, start = loop_.Now()] {
    return loop_.Now() - start > std::chrono::seconds(2);
  });
  SendPoison(*cut.node, 10);
  SendPoison(*ingress_, 10);
  EXPECT_EQ(before, kMaxCrashes);
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against targets that end without closing their connections, so that
// the request just seems to take too long.
TEST_F(RepeatedCrashTest, ATargetThatFallsSilentCountsAsCrashed) {
  service_.deadline = milliseconds(300);
  Start(4);
  for (Host& host : hosts_) {
    host.target->FallSilentWhenCrashing();
  }
  SendPoison(*ingress_, 10);
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against targets that end silently and are heard of again only when
// their next run announces itself.
TEST_F(RepeatedCrashTest, AnAnnouncedRestartCountsAsACrashOfTheRunBefore) {
  service_.deadline = milliseconds(100);
  ingress_ = &AddNode("suva-0", nullptr);
  std::list<FakeTarget> targets;
  for (int i = 1; i <= 2; ++i) {
    // Never answers.
    const FakeTarget& target =
        targets.emplace_back(loop_, [](evhttp_request*) {});
    WaitReady(AddNode("suva-" + std::to_string(i), &target));
  }
  const auto announce = [this](const std::string& run) {
    for (size_t i = 1; i < nodes_.size(); ++i) {
      TargetAnnouncement announcement;
      announcement.identity = nodes_[i]->member.id.value + run;
      announcement.started_ms = run == "a" ? 1 : 2;
      nodes_[i]->plane->Announce(announcement);
    }
  };
  announce("a");
  for (int i = 0; i < 20 && (targets.front().seen().empty() ||
                             targets.back().seen().empty());
       ++i) {
    Fetch(*ingress_, kPoison);
  }
  EXPECT_EQ(Fetch(*ingress_, kPoison).status, 504);
  announce("b");
  for (const auto& node : nodes_) {
    RunUntil([&] { return Metric(*node, "ibis_quarantined_requests") == 1; });
  }
  EXPECT_EQ(Fetch(*ingress_, kPoison).Get("Ibis-Reason"), "quarantined");
}

// Guards against suspicion of requests whose target only says that it is ill.
TEST_F(RepeatedCrashTest, AnUnhealthyTargetThatAnswersHasNotCrashed) {
  bool healthy = true;
  std::vector<evhttp_request*> held;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) != "/health") {
      held.push_back(request);
    } else {
      evhttp_send_reply(request, healthy ? 200 : 503, nullptr, nullptr);
    }
  });
  health_path_ = "/health";
  Node& gate = AddNode("suva-1", &target);
  WaitReady(gate);
  const auto response = Send(gate, {"GET", "/rooms", {}, ""});
  RunUntil([&] { return !held.empty(); });
  healthy = false;
  RunUntil([&] { return gate.member.target == world::TargetState::kDown; });
  EXPECT_EQ(Metric(gate, "ibis_suspected_requests"), 0);
  RespondOk(held.front(), "fine");
  RunUntil([this] { return ended_ == sent_; });
  EXPECT_EQ(response->status, 200);
}

// Guards against a crash that nobody hears of because the node beside the
// target ends with it.
TEST_F(RepeatedCrashTest, ANodeThatEndsWithItsTargetDoesNotHideTheCrash) {
  Start(6);
  for (Host& host : hosts_) {
    host.target->SetOnCrash([this, &host] { KillNode(host); });
  }
  for (int i = 0; i < 12; ++i) {
    Fetch(*ingress_, kPoison);
    for (Host& host : hosts_) {
      if (host.node == nullptr) {
        host.node = &AddNode("suva-" + std::to_string(++next_host_),
                             host.target->local());
        WaitReady(*host.node);
      }
    }
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against the quarantine of a popular request that was only in flight
// when others crashed the targets.
TEST_F(RepeatedCrashTest, AHarmlessRequestInFlightAtCrashesIsNotQuarantined) {
  Start(5);
  const TargetRequest popular{"GET", "/slow/popular", {}, ""};
  for (int round = 0; round < 6; ++round) {
    RunUntil([this] { return AllRunning(); });
    for (int i = 0; i < 10; ++i) {
      Send(*ingress_, popular);
    }
    RunUntil([this] { return Waiting() == 10 || ended_ == sent_; });
    Fetch(*ingress_, {"GET", "/poison", {}, "body " + std::to_string(round)});
    RunUntil([this] { return AllRunning(); });
    const CallerResponse response = Fetch(*ingress_, popular);
    ASSERT_EQ(response.status, 200) << response.Get("Ibis-Reason");
  }
}

}  // namespace
}  // namespace ibisvalve::dataplane

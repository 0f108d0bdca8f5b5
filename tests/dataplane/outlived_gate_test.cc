#include <list>

#include "dataplane/repeated_crash_fixture.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;

// A request that takes a while and harms no target.
const TargetRequest kSlow{"GET", "/slow/timetable", {}, ""};

// Fixture with nodes that end and start again, beside targets that run on or
// end with them. The test plays the part of the gossip.
class OutlivedGateTest : public RepeatedCrashTest {
 protected:
  // Announces run `run` of the target of `host`, as its node does it.
  void Publish(Host& host, uint64_t run, Incarnation since) {
    host.node->member.hosted = {since, 1, Digest(run),
                                host.node->member.incarnation};
    UpdateMember(host.node->member);
  }

  // Starts `hosts` hosts, each with run 1 of its target.
  void StartWithRuns(int hosts) {
    Start(hosts);
    for (Host& host : hosts_) {
      Publish(host, 1, host.node->member.incarnation);
    }
  }

  // Sends kSlow until all targets but `spared` run it, then ends the nodes of
  // these.
  void EndNodesDuringRuns(size_t spared = 0) {
    while (Waiting() < hosts_.size() - spared) {
      Send(*ingress_, kSlow);
      RunUntil(
          [this, sent = sent_] { return Waiting() > 0 || ended_ == sent; });
    }
    size_t left = hosts_.size() - spared;
    for (Host& host : hosts_) {
      if (left > 0 && host.target->waiting() > 0) {
        ended_incarnations_[&host] = host.node->member.incarnation;
        KillNode(host);
        --left;
      }
    }
    RunUntil([this] { return ended_ == sent_; });
  }

  // Starts the nodes that ended again. Their members are known by their ids.
  void RestartNodes() {
    int number = 0;
    for (Host& host : hosts_) {
      ++number;
      if (host.node == nullptr) {
        host.node =
            &AddNode("suva-" + std::to_string(number), host.target->local());
        WaitReady(*host.node);
      }
    }
  }

  // Has the targets of all nodes announce their run that started at `started`.
  void AnnounceRuns(uint64_t started, uint64_t number, bool stopping = false) {
    for (const auto& node : nodes_) {
      TargetAnnouncement announcement;
      announcement.identity = node->member.id.value;
      announcement.started_ms = started;
      announcement.number = number;
      announcement.stopping = stopping;
      node->plane->Announce(announcement);
    }
  }

  double Quarantined() const {
    return Metric(*ingress_, "ibis_quarantined_requests");
  }

  std::map<const Host*, Incarnation> ended_incarnations_;
};

// Guards against a request that is refused for minutes because nodes ended
// while it was on its way, though their targets run on.
TEST_F(OutlivedGateTest, EndsOfNodesBesideRunningTargetsAreNoCrashes) {
  StartWithRuns(3);
  EndNodesDuringRuns();
  EXPECT_EQ(Quarantined(), 1) << "the targets may have ended";
  RestartNodes();
  for (Host& host : hosts_) {
    Publish(host, 1, ended_incarnations_.at(&host));
  }
  EXPECT_EQ(Quarantined(), 0);
  const CallerResponse response = Fetch(*ingress_, kSlow);
  EXPECT_EQ(response.status, 200) << response.Get("Ibis-Reason");
}

// Guards against a node that joins later and counts what was refuted.
TEST_F(OutlivedGateTest, ANodeThatLearnsOfTheEndsLaterKnowsThatTheyAreNone) {
  StartWithRuns(3);
  EndNodesDuringRuns();
  const std::vector<world::CrashRecord> told =
      ingress_->plane->RepeatedCrashes();
  ASSERT_EQ(told.size(), 1U);
  RestartNodes();
  for (Host& host : hosts_) {
    Publish(host, 1, ended_incarnations_.at(&host));
  }
  const Node& joined = AddNode("nadi-1", nullptr);
  joined.plane->LearnCrashes(told);
  EXPECT_EQ(Metric(joined, "ibis_quarantined_requests"), 0);
}

// Guards against targets that end together with their nodes and are back as new
// runs before the request comes again.
TEST_F(OutlivedGateTest, TargetsThatAreBackAsNewRunsHaveCrashed) {
  StartWithRuns(3);
  EndNodesDuringRuns();
  RestartNodes();
  for (Host& host : hosts_) {
    Publish(host, 2, host.node->member.incarnation);
  }
  EXPECT_EQ(Quarantined(), 1);
  EXPECT_EQ(Fetch(*ingress_, kSlow).Get("Ibis-Reason"), "quarantined");
}

// Guards against one late announcement of a run that ended with its node, which
// the fleet still remembers: only a process that heard from it again tells.
TEST_F(OutlivedGateTest, ARunThatIsOnlyRememberedHasNotOutlivedItsNode) {
  StartWithRuns(3);
  EndNodesDuringRuns();
  RestartNodes();
  for (Host& host : hosts_) {
    const Incarnation ended = ended_incarnations_.at(&host);
    host.node->member.hosted = {ended, 1, Digest(1), ended};
    UpdateMember(host.node->member);
  }
  EXPECT_EQ(Quarantined(), 1);
}

// Guards against suspicion of a request at the planned stop of nodes.
TEST_F(OutlivedGateTest, NodesThatLeftInAnOrderlyWayAreNoCrashes) {
  StartWithRuns(2);
  EndNodesDuringRuns();
  ASSERT_EQ(Quarantined(), 1);
  for (Host& host : hosts_) {
    world::Member left = ingress_->view.members().at(
        NodeId("suva-" + std::to_string(&host == &hosts_.front() ? 1 : 2)));
    left.state = world::MemberState::kLeft;
    UpdateMember(left);
  }
  EXPECT_EQ(Quarantined(), 0);
}

// Guards against the refusal of a popular request, which is nearly always on
// its way somewhere, whenever several nodes end at once.
TEST_F(OutlivedGateTest, ARequestThatWasJustAnsweredIsNotSuspected) {
  StartWithRuns(3);
  ASSERT_EQ(Fetch(*ingress_, kSlow).status, 200);
  EndNodesDuringRuns();
  EXPECT_EQ(Metric(*ingress_, "ibis_suspected_requests"), 0);
  EXPECT_EQ(Quarantined(), 0);
}

// Guards against a request that is refused for minutes after connections to
// targets were reset which have not ended.
TEST_F(OutlivedGateTest, AResetConnectionToARunningTargetIsNoCrash) {
  Start(2);
  uint64_t number = 0;
  const auto announce = [&] { AnnounceRuns(1, ++number); };
  announce();
  for (int i = 0; i < 2; ++i) {
    RunUntil([this] { return AllRunning(); });
    Fetch(*ingress_, kPoisonOnce);
  }
  ASSERT_EQ(Quarantined(), 1);
  RunUntil([this] { return AllRunning(); });
  announce();
  EXPECT_EQ(Quarantined(), 1) << "this may be a late announcement";
  announce();
  RunUntil([this] { return Quarantined() == 0; });
}

// Guards against the refusal of a frequent request after a release, at which it
// was on its way to targets that ended as announced.
TEST_F(OutlivedGateTest, ATargetThatEndsAfterItsDepartureHasNotCrashed) {
  Start(2);
  AnnounceRuns(1, 0);
  while (Waiting() < hosts_.size()) {
    Send(*ingress_, kSlow);
    RunUntil([this, before = Waiting()] { return Waiting() > before; });
  }
  AnnounceRuns(1, 0, true);
  for (Host& host : hosts_) {
    host.target->End();
  }
  RunUntil([this] { return ended_ == sent_; });
  AnnounceRuns(2, 0);
  RunUntil([this] { return AllRunning(); });
  for (const auto& node : nodes_) {
    EXPECT_EQ(Metric(*node, "ibis_suspected_requests"), 0);
    EXPECT_EQ(Metric(*node, "ibis_quarantined_requests"), 0);
  }
}

// Guards against a crash that its target's next run takes for refuted.
TEST_F(OutlivedGateTest, AnnouncementsOfTheNextRunDoNotRefuteACrash) {
  Start(2);
  AnnounceRuns(1, 1);
  for (int i = 0; i < 2; ++i) {
    RunUntil([this] { return AllRunning(); });
    Fetch(*ingress_, kPoisonOnce);
  }
  ASSERT_EQ(Quarantined(), 1);
  for (uint64_t i = 1; i <= 3; ++i) {
    AnnounceRuns(2, i);
  }
  RunUntil([this, start = loop_.Now()] {
    return loop_.Now() - start > milliseconds(50);
  });
  EXPECT_EQ(Quarantined(), 1);
}

}  // namespace
}  // namespace ibisvalve::dataplane

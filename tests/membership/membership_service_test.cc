#include "membership/membership_service.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace ibisvalve::membership {
namespace {

using std::chrono::milliseconds;

world::Member SampleMember(const std::string& name, uint64_t incarnation) {
  world::Member member;
  member.id = NodeId(name);
  member.incarnation = Incarnation(incarnation);
  member.location = {RegionName("viti-levu"), ZoneName("suva")};
  member.gossip = {"127.0.0.1", 0};
  return member;
}

class MembershipServiceTest : public testing::Test {
 protected:
  MembershipServiceTest()
      : deadline_(loop_, [this] {
          ADD_FAILURE() << "test timed out after 20 s";
          loop_.Stop();
        }) {
    deadline_.StartOnce(std::chrono::seconds(20));
    settings_.period = milliseconds(40);
  }

  // Starts a service. The first service is the seed of all later ones.
  MembershipService& Start(const std::string& name, uint64_t incarnation) {
    services_.push_back(std::make_unique<MembershipService>(
        loop_, settings_, SampleMember(name, incarnation),
        [this](const world::Member&) { Check(); }));
    if (settings_.seeds.empty()) {
      settings_.seeds = {services_.front()->self().gossip};
    }
    return *services_.back();
  }

  // Runs the loop until `done` holds, which is checked after each member
  // change.
  void RunUntil(std::function<bool()> done) {
    done_ = std::move(done);
    if (!done_()) {
      loop_.Run();
    }
    done_ = nullptr;
  }

  void Check() {
    if (done_ && done_()) {
      loop_.Stop();
    }
  }

  bool AllSee(const NodeId& id, std::function<bool(const world::Member&)> as) {
    return std::all_of(services_.begin(), services_.end(), [&](auto& service) {
      const auto found = service->members().find(id);
      return found != service->members().end() && as(found->second);
    });
  }

  net::EventLoop loop_;
  net::Timer deadline_;
  MembershipSettings settings_;
  std::vector<std::unique_ptr<MembershipService>> services_;
  std::function<bool()> done_;
};

TEST_F(MembershipServiceTest, NodesDiscoverEachOtherAndTheirTargets) {
  Start("suva-1", 1);
  Start("suva-2", 2);
  MembershipService& third = Start("suva-3", 3);
  RunUntil([&] {
    return std::all_of(
        services_.begin(), services_.end(),
        [](const auto& service) { return service->members().size() == 3; });
  });
  third.SetTarget(ServiceName("bookdesk"), world::TargetState::kDraining, 20);
  RunUntil([&] {
    return AllSee(NodeId("suva-3"), [](const world::Member& member) {
      return member.target == world::TargetState::kDraining &&
             member.slots == 20;
    });
  });
}

TEST_F(MembershipServiceTest, LeaveIsKnownToPeersBeforeDoneIsCalled) {
  Start("suva-1", 1);
  MembershipService& leaver = Start("suva-2", 2);
  RunUntil([&] {
    return AllSee(NodeId("suva-1"), [](const auto&) { return true; }) &&
           AllSee(NodeId("suva-2"), [](const auto&) { return true; });
  });
  leaver.Leave([&] {
    EXPECT_EQ(services_.front()->members().at(NodeId("suva-2")).state,
              world::MemberState::kLeft);
    loop_.Stop();
  });
  loop_.Run();
}

TEST_F(MembershipServiceTest, OlderProcessWithTheSameIdIsReplaced) {
  Start("suva-1", 1);
  MembershipService& older = Start("suva-2", 2);
  RunUntil([&] {
    return AllSee(NodeId("suva-2"), [](const auto&) { return true; });
  });
  MembershipService& newer = Start("suva-2", 3);
  net::Timer check(loop_, [&] {
    if (older.replaced()) {
      loop_.Stop();
    }
  });
  check.StartPeriodic(milliseconds(10));
  loop_.Run();
  EXPECT_TRUE(older.replaced());
  EXPECT_FALSE(newer.replaced());
}

TEST_F(MembershipServiceTest, InvalidDatagramsAreCountedAndIgnored) {
  MembershipService& service = Start("suva-1", 1);
  net::DatagramSocket stranger(loop_, {"127.0.0.1", 0},
                               [](const world::Endpoint&, std::string_view) {});
  stranger.Send(service.self().gossip, "not a message");
  net::Timer check(loop_, [&] {
    std::vector<MetricSample> samples;
    service.Collect(samples);
    const bool counted =
        std::any_of(samples.begin(), samples.end(), [](const auto& sample) {
          return sample.name == "ibis_membership_bad_datagrams_total" &&
                 sample.value == 1;
        });
    if (counted) {
      loop_.Stop();
    }
  });
  check.StartPeriodic(milliseconds(10));
  loop_.Run();
  EXPECT_EQ(service.members().size(), 1U);
}

}  // namespace
}  // namespace ibisvalve::membership

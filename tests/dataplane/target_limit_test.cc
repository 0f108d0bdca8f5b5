#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Ingresses on two hosts and a target that tells about itself in its responses.
class TargetLimitTest : public PlaneTest {
 protected:
  TargetLimitTest() {
    names_.rate_limit = "X-Limit";
    names_.leaving = "X-Leaving";
    slots_ = 50;
  }

  void Start() {
    for (const char* id : {"suva-1", "nadi-1"}) {
      ingresses_.push_back(&AddNode(id, nullptr));
    }
    gate_ = &AddNode("suva-2", &target_);
    WaitReady(*gate_);
    Fetch(*ingresses_[0], {"GET", "/first", {}, ""});
  }
  // Sends requests from all ingresses, each every 4 ms, and returns how many
  // reach the target.
  size_t CountArrivals(Duration time) {
    const size_t before = target_.seen().size();
    net::Timer load(loop_, [this] {
      for (const Node* ingress : ingresses_) {
        Send(*ingress, {"GET", "/lookup", {}, ""});
      }
    });
    load.StartPeriodic(milliseconds(4));
    Wait(time);
    return target_.seen().size() - before;
  }
  void Wait(Duration time) {
    net::Timer end(loop_, [this] { loop_.Stop(); });
    end.StartOnce(time);
    loop_.Run();
  }

  wire::Headers told_;  // headers of the target's responses
  FakeTarget target_{loop_, [this](evhttp_request* request) {
                       for (const auto& [name, value] : told_) {
                         evhttp_add_header(
                             evhttp_request_get_output_headers(request),
                             name.c_str(), value.c_str());
                       }
                       RespondOk(request, "ok");
                     }};
  std::vector<Node*> ingresses_;
  Node* gate_ = nullptr;
};

// Guards against a target in need that gets more requests than the limit that
// it names: in any 4 s one and a half times what the limit allows, and 5 more.
TEST_F(TargetLimitTest, IngressesTogetherKeepToTheLimitOfATarget) {
  told_ = {{"X-Limit", "5.5"}};
  Start();
  EXPECT_LE(CountArrivals(seconds(4)), 1.5 * 4 * 5.5 + 5);
}

// Guards against a limit that starves a target of the requests that it takes.
TEST_F(TargetLimitTest, ATargetStillGetsMostOfWhatItTakes) {
  told_ = {{"X-Limit", "40"}};
  Start();
  EXPECT_GE(CountArrivals(seconds(2)), 60U);
}

// Guards against a limit that stays after the target has ended it.
TEST_F(TargetLimitTest, TheLimitEndsWithAResponseThatDoesNotNameIt) {
  told_ = {{"X-Limit", "10"}};
  Start();
  EXPECT_LE(CountArrivals(milliseconds(500)), 15U);
  told_.clear();
  Wait(milliseconds(200));
  Fetch(*ingresses_[0], {"GET", "/last", {}, ""});
  EXPECT_GE(CountArrivals(milliseconds(500)), 100U);
}

// Guards against a target that leaves and still gets requests, though it has
// told its gate and no announcement has arrived.
TEST_F(TargetLimitTest, ATargetThatSaysItLeavesGetsNoFurtherRequests) {
  told_ = {{"X-Leaving", "1"}};
  Start();
  EXPECT_EQ(CountArrivals(milliseconds(300)), 0U);
  EXPECT_EQ(gate_->member.target, world::TargetState::kDraining);
}

// Guards against a late announcement that takes a departure back.
TEST_F(TargetLimitTest, AnAnnouncementOfTheSameRunDoesNotTakeADepartureBack) {
  TargetAnnouncement announcement;
  announcement.identity = "this";
  announcement.started_ms = 1000;
  announcement.number = 1;
  Start();
  gate_->plane->Announce(announcement);
  told_ = {{"X-Leaving", "1"}};
  Fetch(*ingresses_[0], {"GET", "/told", {}, ""});
  announcement.number = 2;
  gate_->plane->Announce(announcement);
  EXPECT_EQ(CountArrivals(milliseconds(200)), 0U);
  announcement.started_ms = 2000;  // the target has started again
  told_.clear();
  gate_->plane->Announce(announcement);
  EXPECT_GE(CountArrivals(milliseconds(300)), 50U);
}

// Guards against a departure that outlives the target: the next one at the same
// address must be used.
TEST_F(TargetLimitTest, ANewTargetAfterOneThatLeftIsUsed) {
  told_ = {{"X-Leaving", "1"}};
  Start();
  told_.clear();
  TargetAnnouncement next;
  next.identity = "next";
  next.state = world::TargetState::kReady;
  gate_->plane->Announce(next);
  EXPECT_GE(CountArrivals(milliseconds(300)), 50U);
}

}  // namespace
}  // namespace ibisvalve::dataplane

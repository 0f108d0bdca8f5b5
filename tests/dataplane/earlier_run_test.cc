#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

constexpr int kMisdirected = 421;

// A target that answers late, after another run of it has announced itself.
class EarlierRunTest : public PlaneTest {
 protected:
  EarlierRunTest() {
    names_.leaving = "X-Leaving";
    names_.target = "X-Target";
  }

  // Announces the run of `identity` that started at `started_ms`.
  void Announce(const std::string& identity, uint64_t started_ms) {
    TargetAnnouncement announcement;
    announcement.identity = identity;
    announcement.started_ms = started_ms;
    announcement.number = 1;
    node_->plane->Announce(announcement);
  }
  // Sends a request to the run i-1 and has it answered once the run that
  // `identity` and `started_ms` name has announced itself.
  void AnswerAfter(const std::string& identity,
                   uint64_t started_ms,
                   const std::function<void(evhttp_request*)>& answer) {
    node_ = &AddNode("suva-1", &target_);
    Announce("i-1", 1000);
    WaitReady(*node_);
    hold_ = true;
    Send(*node_, {"GET", "/held", {}, ""});
    RunUntil([this] { return held_ != nullptr; });
    hold_ = false;
    Announce(identity, started_ms);
    answer(held_);
    net::Timer end(loop_, [this] { loop_.Stop(); });
    end.StartOnce(std::chrono::milliseconds(200));
    loop_.Run();
  }

  bool hold_ = false;
  evhttp_request* held_ = nullptr;
  FakeTarget target_{loop_, [this](evhttp_request* request) {
                       if (hold_) {
                         held_ = request;
                       } else {
                         RespondOk(request, "ok");
                       }
                     }};
  Node* node_ = nullptr;
};

// The rejection that was meant for the earlier run took its successor out of
// use for good.
TEST_F(EarlierRunTest, ALateRejectionDoesNotEndTheSuccessor) {
  AnswerAfter("i-2", 2000, [](evhttp_request* request) {
    evhttp_send_reply(request, kMisdirected, nullptr, nullptr);
  });
  EXPECT_EQ(node_->member.target, world::TargetState::kReady);
  EXPECT_EQ(Fetch(*node_, {"GET", "/next", {}, ""}).status, 200);
}

// The same for a run that says that it leaves, and whose successor has the same
// identity.
TEST_F(EarlierRunTest, ALateDepartureDoesNotEndTheSuccessor) {
  AnswerAfter("i-1", 2000, [](evhttp_request* request) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Leaving",
                      "1");
    RespondOk(request, "ok");
  });
  EXPECT_EQ(node_->member.target, world::TargetState::kReady);
}

// A target that was replaced, and whose identity is back with a later run, is
// used again.
TEST_F(EarlierRunTest, ALaterRunOfAReplacedIdentityIsUsed) {
  AnswerAfter("i-1", 1000, [](evhttp_request* request) {
    evhttp_send_reply(request, kMisdirected, nullptr, nullptr);
  });
  EXPECT_EQ(node_->member.target, world::TargetState::kDown);
  Announce("i-1", 2000);
  EXPECT_EQ(node_->member.target, world::TargetState::kReady);
}

}  // namespace
}  // namespace ibisvalve::dataplane

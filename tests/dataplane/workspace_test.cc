#include <gtest/gtest.h>

#include "dataplane/caller_identity.h"
#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

constexpr char kKey[] = "north-key-1";

// One node and its target, in a fleet with two workspaces.
class WorkspaceTest : public PlaneTest {
 protected:
  WorkspaceTest()
      : target_(loop_,
                [](evhttp_request* request) { RespondOk(request, ""); }) {
    world::Workspace north;
    north.name = "north";
    north.keys = {kKey};
    world::Workspace south;
    south.name = "south";
    south.keys = {"south-key-1"};
    workspaces_ = std::vector{north, south};
  }
  Node& Start() {
    Node& node = AddNode("suva-1", &target_);
    WaitReady(node);
    return node;
  }
  static TargetRequest With(const wire::Headers& headers) {
    return {"GET", "/lookup", headers, ""};
  }

  FakeTarget target_;
};

// Guards against requests of strangers that reach a target.
TEST_F(WorkspaceTest, ARequestWithoutAValidKeyIsRefused) {
  const Node& node = Start();
  const std::vector<wire::Headers> refused = {
      {},
      {{"Authorization", ""}},
      {{"Authorization", "Token"}},
      {{"Authorization", "Token "}},
      {{"Authorization", kKey}},
      {{"Authorization", std::string("Basic ") + kKey}},
      {{"Authorization", std::string("Token") + kKey}},
      {{"Authorization", std::string("Token ") + kKey + "x"}},
      {{"Authorization", "Token " + std::string(8 << 10, 'k')}},
      {{"Authorization", "Token \xc3\xa9\xff"}},
      {{"Authorization", std::string("Token ") + kKey},
       {"Authorization", "Token south-key-1"}},
      {{"Ibis-Workspace", "north"}}};
  for (const wire::Headers& headers : refused) {
    const CallerResponse response = Fetch(node, With(headers));
    EXPECT_EQ(response.status, 401);
    EXPECT_EQ(response.body.find(kKey), std::string::npos);
  }
  EXPECT_TRUE(target_.seen().empty());
}

// Guards against a target that gets the secret of a caller, or that is told
// another workspace by the caller.
TEST_F(WorkspaceTest, TheTargetGetsTheNameAndNotTheKey) {
  const Node& node = Start();
  const CallerResponse response =
      Fetch(node, With({{"authorization", std::string("token  ") + kKey},
                        {"Ibis-Workspace", "south"}}));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(FindHeader(target_.headers(), "Authorization"), nullptr);
  ASSERT_NE(FindHeader(target_.headers(), "Ibis-Workspace"), nullptr);
  EXPECT_EQ(*FindHeader(target_.headers(), "Ibis-Workspace"), "north");
}

// Guards against public requests that need a key or carry a false workspace.
TEST_F(WorkspaceTest, APublicServiceNeedsNoKey) {
  service_.is_public = true;
  const Node& node = Start();
  EXPECT_EQ(Fetch(node, With({{"Ibis-Workspace", "south"}})).status, 200);
  EXPECT_EQ(FindHeader(target_.headers(), "Ibis-Workspace"), nullptr);
}

// Guards against a fleet without workspaces that is served differently.
TEST_F(WorkspaceTest, WithoutWorkspacesACredentialIsPassedOn) {
  workspaces_.reset();
  const Node& node = Start();
  EXPECT_EQ(Fetch(node, With({{"Authorization", "Basic abc"}})).status, 200);
  ASSERT_NE(FindHeader(target_.headers(), "Authorization"), nullptr);
}

// A file whose last workspace was removed was taken for one without workspaces:
// every request was accepted, and targets were shown the keys.
TEST_F(WorkspaceTest, WithoutAWorkspaceLeftNoKeyIsAccepted) {
  const Node& node = Start();
  const TargetRequest request =
      With({{"Authorization", std::string("Token ") + kKey}});
  EXPECT_EQ(Fetch(node, request).status, 200);
  const size_t seen = target_.seen().size();
  workspaces_->clear();
  PublishFleet(2);
  EXPECT_EQ(Fetch(node, request).status, 401);
  EXPECT_EQ(Fetch(node, With({})).status, 401);
  EXPECT_EQ(target_.seen().size(), seen);
  service_.is_public = true;
  PublishFleet(3);
  EXPECT_EQ(Fetch(node, request).status, 200);
  EXPECT_EQ(FindHeader(target_.headers(), "Authorization"), nullptr);
}

// The same for a workspace whose last region was removed.
TEST_F(WorkspaceTest, AWorkspaceWithoutARegionLeftGetsNoTarget) {
  const Node& node = Start();
  const TargetRequest request =
      With({{"Authorization", std::string("Token ") + kKey}});
  workspaces_->at(0).regions.emplace();
  PublishFleet(2);
  EXPECT_EQ(Fetch(node, request).status, 503);
  EXPECT_TRUE(target_.seen().empty());
}

// Guards against a key that is accepted after the revision that removes it.
TEST_F(WorkspaceTest, AKeyEndsWithItsRevision) {
  const Node& node = Start();
  const TargetRequest request =
      With({{"Authorization", std::string("Token ") + kKey}});
  EXPECT_EQ(Fetch(node, request).status, 200);
  workspaces_->at(0).keys = {"north-key-2"};
  PublishFleet(2);
  EXPECT_EQ(Fetch(node, request).status, 401);
}

// Guards against two workspaces that share an idempotency key by accident: one
// would get the response to the other.
TEST_F(WorkspaceTest, IdempotencyKeysAreOfOneWorkspace) {
  std::vector<std::string> claimed;
  claims_.claim =
      [&](const wire::ClaimRequest& request, Duration,
          const std::function<void(const wire::ClaimReply&)>& done) {
        claimed.push_back(request.key.key);
        wire::ClaimReply reply;
        reply.verdict = wire::ClaimVerdict::kGranted;
        done(reply);
      };
  claims_.settle = [](const wire::ClaimSettle&) {};
  const Node& node = Start();
  for (const char* key : {kKey, "south-key-1"}) {
    Fetch(node, {"POST",
                 "/bookings",
                 {{"Authorization", std::string("Token ") + key},
                  {"Idempotency-Key", "1"}},
                 "b"});
  }
  ASSERT_EQ(claimed.size(), 2U);
  EXPECT_NE(claimed[0], claimed[1]);
}

// Guards against a target in a region that the workspace does not allow.
TEST_F(WorkspaceTest, OnlyAllowedRegionsAreUsed) {
  workspaces_->at(0).regions = std::vector{RegionName("north-island")};
  const Node& node = Start();
  EXPECT_EQ(Fetch(node, With({{"Authorization", std::string("Token ") + kKey}}))
                .status,
            503);
  EXPECT_EQ(Fetch(node, With({{"Authorization", "Token south-key-1"}})).status,
            200);
}

// Where route and workspace both allow regions, both bind.
TEST(AllowedRegionsTest, BothBind) {
  world::Route route;
  route.regions = {RegionName("a"), RegionName("b")};
  world::Workspace workspace;
  workspace.regions = {RegionName("b"), RegionName("c")};
  const AllowedRegions both = RegionsFor(&route, &workspace);
  EXPECT_FALSE(Allows(both, RegionName("a")));
  EXPECT_TRUE(Allows(both, RegionName("b")));
  EXPECT_FALSE(Allows(both, RegionName("c")));
  EXPECT_TRUE(Allows(RegionsFor(nullptr, nullptr), RegionName("a")));
}

// A node whose workspaces have quotas, and a leader played by the test.
class QuotaAdmissionTest : public WorkspaceTest {
 protected:
  QuotaAdmissionTest() {
    workspaces_->at(0).quota = world::Quota{10, 10};
    ask_quota_ = [this](const auto& demands, const auto& done) {
      asked_ += demands.at(0).tokens;
      if (answers_) {
        const uint32_t granted = std::min(tokens_, demands[0].tokens);
        tokens_ -= granted;
        done({{demands[0].workspace, demands[0].tokens, granted, 0, 200'000}});
      }
    };
  }
  CallerResponse Lookup(const Node& node) {
    return Fetch(node, With({{"Authorization", std::string("Token ") + kKey}}));
  }

  bool answers_ = true;
  uint32_t tokens_ = 0;
  uint32_t asked_ = 0;
};

// Guards against a workspace over its quota that takes the room of others, and
// against callers that return before there is a token.
TEST_F(QuotaAdmissionTest, OverTheQuotaACallerIsToldWhenToReturn) {
  tokens_ = 1;
  const Node& node = Start();
  EXPECT_EQ(Lookup(node).status, 200);
  const CallerResponse response = Lookup(node);
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(response.Get("Retry-After"), "0.200");
  EXPECT_EQ(target_.seen().size(), 1U);
}

// Guards against a request that is refused as over the quota although no leader
// has said so, and against one that waits until its deadline.
TEST_F(QuotaAdmissionTest, WithoutALeaderTheRequestIsRefusedInTime) {
  answers_ = false;
  service_.objective = world::Objective{0.99, std::chrono::milliseconds(300)};
  const Node& node = Start();
  const Time start = loop_.Now();
  EXPECT_EQ(Lookup(node).status, 503);
  EXPECT_LT(loop_.Now() - start, std::chrono::milliseconds(600));
}

// Load: requests of one workspace that arrive within the time of an answer.
// Guards against requests below the quota that are refused because the waiters
// of an earlier question count as not served by a later one.
TEST_F(QuotaAdmissionTest, ARequestBesideAnUnansweredQuestionIsNotRefused) {
  std::vector<std::function<void()>> answers;
  ask_quota_ = [&](const auto& demands, const auto& done) {
    const wire::QuotaDemand& demand = demands.at(0);
    answers.push_back([demand, done] {
      done({{demand.workspace, demand.tokens, demand.tokens, 0, 0}});
    });
  };
  const Node& node = Start();
  std::vector<std::shared_ptr<CallerResponse>> responses;
  const auto send = [&] {
    const size_t before = answers.size();
    responses.push_back(
        Send(node, With({{"Authorization", std::string("Token ") + kKey}})));
    RunUntil([&] { return answers.size() > before || ended_ == sent_; });
  };
  send();
  send();
  for (size_t i = 0; i < answers.size(); ++i) {
    answers[i]();
  }
  RunUntil([this] { return ended_ == sent_; });
  const size_t answered = answers.size();
  send();
  for (size_t i = answered; i < answers.size(); ++i) {
    answers[i]();
  }
  RunUntil([this] { return ended_ == sent_; });
  for (const auto& response : responses) {
    EXPECT_EQ(response->status, 200);
  }
}

// Guards against a token that is lost with a request that did not run.
TEST_F(QuotaAdmissionTest, ARequestThatDidNotRunGivesItsTokenBack) {
  tokens_ = 1;
  Node& node = Start();
  node.plane->Drain();
  EXPECT_EQ(Lookup(node).status, 503);
  node.plane->Undrain();
  EXPECT_EQ(Lookup(node).status, 200);
  EXPECT_EQ(asked_, 1U);
}

// Guards against a target in an evacuated zone that gets requests, from its own
// host or another one.
TEST_F(WorkspaceTest, AnEvacuatedZoneGetsNoRequests) {
  service_.is_public = true;
  Node& node = Start();
  Node& other = AddNode("suva-2", nullptr);
  for (Node* changed : {&node, &other}) {
    changed->view.SetEvacuatedZones({node.member.location.zone});
    changed->plane->ApplyZones();
    EXPECT_EQ(Fetch(*changed, With({})).status, 503);
  }
  EXPECT_TRUE(target_.seen().empty());
  // An ingress that has not heard of the evacuation yet.
  other.view.SetEvacuatedZones({});
  EXPECT_EQ(Fetch(other, With({})).status, 503);
  EXPECT_TRUE(target_.seen().empty());
}

// Load: a target that is back cold, and as many callers as before. Guards
// against a target that crashes because it gets more than it takes while cold.
TEST_F(WorkspaceTest, AColdTargetGetsItsRate) {
  service_.is_public = true;
  service_.cold = world::ColdStart{20, std::chrono::seconds(3)};
  service_.objective = world::Objective{0.99, std::chrono::milliseconds(50)};
  names_.load = "Load";
  choice_ = policy::ChoiceKind::kExpectedValue;
  slots_ = 50;
  Node& node = Start();
  TargetAnnouncement cold;
  cold.identity = "run-1";
  cold.cold_left = std::chrono::seconds(3);
  node.plane->Announce(cold);
  const Time start = loop_.Now();
  while (loop_.Now() - start < std::chrono::seconds(1)) {
    for (int i = 0; i < 5; ++i) {
      Send(node, With({}));
    }
    RunUntil([this] { return ended_ == sent_; });
  }
  EXPECT_GE(target_.seen().size(), 10U);
  EXPECT_LE(target_.seen().size(), 1.5 * 20 + 8);
  EXPECT_EQ(Metric(node, "ibis_gate_target_cold"), 1);
}

}  // namespace
}  // namespace ibisvalve::dataplane

#include <algorithm>
#include <list>

#include "dataplane/crash_tracker.h"
#include "dataplane/crashing_target.h"
#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;

constexpr Duration kDowntime = milliseconds(150);

// Fixture with targets that a request crashes which comes again in other forms.
class CrashIdentityTest : public PlaneTest {
 protected:
  // Crashes by one and the same request, and by requests that agree in path and
  // body only.
  static constexpr int kMaxCrashes = 2;
  static constexpr int kMaxCrashesOfVariants = 3;

  CrashIdentityTest() { names_.caller = "Caller-Service"; }

  // Starts `hosts` nodes, each with a target that crashes at requests for which
  // `crashes_at` holds.
  void StartHosts(int hosts, const CrashingTarget::Predicate& crashes_at) {
    for (int i = 1; i <= hosts; ++i) {
      targets_.emplace_back(loop_, kDowntime).SetCrashesAt(crashes_at);
      WaitReady(AddNode("suva-" + std::to_string(i), targets_.back().local()));
    }
  }

  // Starts an ingress on a host of `service`.
  const Node& AddIngress(const std::string& service) {
    caller_service_ = ServiceName(service);
    return AddNode("nadi-" + service, nullptr);
  }

  // Sends a request once all targets run.
  CallerResponse SendWhenReady(const Node& node, const TargetRequest& request) {
    RunUntil([this] {
      return std::all_of(targets_.begin(), targets_.end(),
                         [](const CrashingTarget& t) { return t.running(); }) &&
             std::all_of(nodes_.begin(), nodes_.end(), [](const auto& other) {
               return other->member.target != world::TargetState::kDown;
             });
    });
    return Fetch(node, request);
  }

  int Crashes() const {
    int crashes = 0;
    for (const CrashingTarget& target : targets_) {
      crashes += target.crashes();
    }
    return crashes;
  }

  // Returns whether the request is for /poison, with any query.
  static bool IsPoison(evhttp_request* request) {
    const std::string uri = evhttp_request_get_uri(request);
    return uri == "/poison" || uri.starts_with("/poison?");
  }

  // Returns whether the request comes from a host of `service`.
  static bool IsFrom(evhttp_request* request, const std::string& service) {
    const char* caller = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Caller-Service");
    return caller != nullptr && caller == service;
  }

  std::list<CrashingTarget> targets_;
};

// Guards against a request that crashes targets anew with each other query.
TEST_F(CrashIdentityTest, AnotherQueryDoesNotCrashMoreTargets) {
  StartHosts(5, IsPoison);
  const Node& ingress = AddIngress("foyer");
  CallerResponse last;
  for (int page = 0; page < 12; ++page) {
    last = SendWhenReady(
        ingress, {"GET", "/poison?page=" + std::to_string(page), {}, ""});
  }
  EXPECT_LE(Crashes(), kMaxCrashesOfVariants);
  EXPECT_EQ(last.status, 503);
  EXPECT_EQ(last.Get("Ibis-Reason"), "quarantined");
}

// Guards against a request that crashes targets anew with each other method.
TEST_F(CrashIdentityTest, AnotherMethodDoesNotCrashMoreTargets) {
  StartHosts(5, IsPoison);
  const Node& ingress = AddIngress("foyer");
  for (const char* method : {"GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"}) {
    for (int i = 0; i < 2; ++i) {
      SendWhenReady(ingress, {method, "/poison", {}, ""});
    }
  }
  EXPECT_LE(Crashes(), kMaxCrashesOfVariants);
}

// Guards against a request that crashes targets anew from the hosts of each
// other service.
TEST_F(CrashIdentityTest, AnotherCallerDoesNotCrashMoreTargets) {
  StartHosts(5, IsPoison);
  std::vector<const Node*> ingresses;
  for (const char* service : {"foyer", "ledger", "tariffs", "archive"}) {
    ingresses.push_back(&AddIngress(service));
  }
  for (int round = 0; round < 3; ++round) {
    for (const Node* ingress : ingresses) {
      SendWhenReady(*ingress, {"GET", "/poison", {}, ""});
    }
  }
  EXPECT_LE(Crashes(), kMaxCrashesOfVariants);
}

// Guards against a request that is refused because one with the same path and
// body from hosts of another service crashes targets.
TEST_F(CrashIdentityTest, TheSameRequestOfAnotherCallerIsServed) {
  StartHosts(5, [](evhttp_request* request) {
    return IsPoison(request) && IsFrom(request, "foyer");
  });
  const Node& crashing = AddIngress("foyer");
  const Node& harmless = AddIngress("ledger");
  const TargetRequest request{"GET", "/poison", {}, ""};
  for (int i = 0; i < 3; ++i) {
    SendWhenReady(crashing, request);
  }
  ASSERT_EQ(Crashes(), kMaxCrashes);
  for (int i = 0; i < 6; ++i) {
    const CallerResponse response = SendWhenReady(harmless, request);
    EXPECT_EQ(response.status, 200) << response.Get("Ibis-Reason");
    SendWhenReady(crashing, request);
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against a request whose crashes are forgotten when the same path and
// body from hosts of another service is answered.
TEST_F(CrashIdentityTest, AResponseToAnotherCallerDoesNotClearARequest) {
  service_.contracts.push_back({{{"POST"}},
                                "/poison",
                                world::Repeat::kNever,
                                world::KeyRule::kOptional,
                                {}});
  StartHosts(5, [](evhttp_request* request) {
    return IsPoison(request) && IsFrom(request, "foyer");
  });
  const Node& crashing = AddIngress("foyer");
  const Node& harmless = AddIngress("ledger");
  const TargetRequest request{"POST", "/poison", {}, ""};
  for (int i = 0; i < 8; ++i) {
    SendWhenReady(crashing, request);
    EXPECT_EQ(SendWhenReady(harmless, request).status, 200);
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against a path that is lost for all queries because of one of them.
TEST_F(CrashIdentityTest, OtherQueriesOfAPathAreServedBesideOneThatCrashes) {
  StartHosts(5, [](evhttp_request* request) {
    return std::string(evhttp_request_get_uri(request)) == "/search?q=poison";
  });
  const Node& ingress = AddIngress("foyer");
  for (int i = 0; i < 4; ++i) {
    SendWhenReady(ingress, {"GET", "/search?q=poison", {}, ""});
  }
  ASSERT_EQ(Crashes(), kMaxCrashes);
  for (int i = 0; i < 4; ++i) {
    const CallerResponse response = SendWhenReady(
        ingress, {"GET", "/search?q=" + std::to_string(i), {}, ""});
    EXPECT_EQ(response.status, 200) << response.Get("Ibis-Reason");
    EXPECT_EQ(SendWhenReady(ingress, {"GET", "/search?q=poison", {}, ""})
                  .Get("Ibis-Reason"),
              "quarantined");
  }
  EXPECT_EQ(Crashes(), kMaxCrashes);
}

// Guards against a busy path that is refused because some of its queries crash
// targets while the others are answered.
TEST_F(CrashIdentityTest, ABusyPathIsServedBesideSeveralQueriesThatCrash) {
  constexpr int kCrashingQueries = 4;
  StartHosts(5, [](evhttp_request* request) {
    return std::string(evhttp_request_get_uri(request))
        .starts_with("/search?q=poison");
  });
  const Node& ingress = AddIngress("foyer");
  for (int i = 0; i < kCrashingQueries; ++i) {
    const std::string number = std::to_string(i);
    SendWhenReady(ingress, {"GET", "/search?q=poison" + number, {}, ""});
    const CallerResponse response =
        SendWhenReady(ingress, {"GET", "/search?q=" + number, {}, ""});
    EXPECT_EQ(response.status, 200) << response.Get("Ibis-Reason");
  }
  EXPECT_LE(Crashes(), kCrashingQueries * kMaxCrashes);
}

// Guards against a crash that is taken for an earlier one, of which the request
// has been cleared, because it follows within milliseconds.
TEST_F(CrashIdentityTest, ACrashSoonAfterAResponseIsANewOne) {
  PlaneSettings settings;
  settings.id = NodeId("suva-1");
  const FleetView view;
  CrashTracker crashes(loop_, settings, view,
                       [](const ServiceName&, const wire::CrashNotice&) {});
  const world::RequestIdentity request{Digest(1), Digest(2)};
  crashes.OnCrashDuringRun(request, loop_.Now());
  EXPECT_EQ(crashes.CountSuspects(), 1U);
  crashes.OnResponse(request, 200);
  EXPECT_EQ(crashes.CountSuspects(), 0U);
  crashes.OnCrashDuringRun(request, std::nullopt);
  EXPECT_EQ(crashes.CountSuspects(), 1U);
}

}  // namespace
}  // namespace ibisvalve::dataplane

#include <gtest/gtest.h>

#include <charconv>

#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"

namespace ibisvalve::dataplane {
namespace {

std::optional<TargetLoad> ParsePercent(std::string_view text) {
  uint32_t percent = 0;
  std::from_chars(text.data(), text.data() + text.size(), percent);
  return TargetLoad{0, 0, 4, percent / 100.0};
}

// Fixture with custom header names for callers and targets, and with routes in
// the configuration file.
class CustomHeadersTest : public PlaneTest {
 protected:
  CustomHeadersTest() {
    names_.deadline = "Time-Left";
    names_.request_id = "Id";
    names_.caller = "From-Service";
    names_.target = "Only-Target";
    names_.not_run = "Did-Not-Run";
    names_.send_ibis_headers = false;
    isolated_ = world::IsolatedPolicy::kServe;
    world::Route lookups;
    lookups.name = "lookups";
    lookups.host = "halls.example";
    lookups.path_prefix = "/look/";
    lookups.targets = {{service_.name, 1}};
    lookups.repeat = world::Repeat::kAllowed;
    lookups.max_attempts = 2;
    world::Route holds = lookups;
    holds.name = "holds";
    holds.path_prefix = "/look/hold/";
    holds.repeat = world::Repeat::kNever;
    routes_ = std::vector{lookups, holds};
  }

  static TargetRequest MakeRequest(const std::string& method,
                                   const std::string& path,
                                   const std::string& id) {
    return {method, path, {{"Host", "Halls.example:80"}, {"Id", id}}, ""};
  }

  // Sends a response with the id of the request and the headers `more`.
  static void RespondWith(evhttp_request* request,
                          int status,
                          const wire::Headers& more) {
    const char* id =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Id");
    evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Id", id == nullptr ? "" : id);
    for (const auto& [name, value] : more) {
      evhttp_add_header(out, name.c_str(), value.c_str());
    }
    evhttp_send_reply(request, status, nullptr, nullptr);
  }
};

TEST_F(CustomHeadersTest, ForgedHeadersAreReplacedAndIbisHeadersAreNotSent) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { RespondWith(request, 200, {}); });
  Node& node = AddNode("suva-1", &target);
  TargetAnnouncement ready;
  ready.identity = "run-7";
  node.plane->Announce(ready);
  WaitReady(node);
  TargetRequest request = MakeRequest("GET", "/look/1", "r1");
  request.headers.emplace_back("From-Service", "forged");
  request.headers.emplace_back("Time-Left", "700");
  const CallerResponse response = Fetch(node, request);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.Get("Id"), "r1");
  EXPECT_EQ(response.Get("Ibis-Outcome"), "");
  EXPECT_EQ(*FindHeader(target.headers(), "From-Service"), "bookdesk");
  EXPECT_EQ(*FindHeader(target.headers(), "Only-Target"), "run-7");
  EXPECT_LE(std::stoi(*FindHeader(target.headers(), "Time-Left")), 700);
  EXPECT_EQ(FindHeader(target.headers(), "Ibis-Depth"), nullptr);
}

TEST_F(CustomHeadersTest, ARequestThatMatchesNoRouteIsNotFound) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { RespondWith(request, 200, {}); });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  EXPECT_EQ(Fetch(node, MakeRequest("GET", "/other/1", "r1")).status, 404);
  EXPECT_EQ(Fetch(node, MakeRequest("GET", "/look/1", "r2")).status, 200);
}

// The not-run header proves that the target did not run the request, so even a
// request that must not be repeated is redirected to another target.
TEST_F(CustomHeadersTest, ARequestThatATargetProvablyDidNotRunIsRedirected) {
  size_t refused = 0;
  FakeTarget refusing(loop_, [&](evhttp_request* request) {
    ++refused;
    RespondWith(request, 503, {{"Did-Not-Run", "1"}});
  });
  FakeTarget accepting(
      loop_, [](evhttp_request* request) { RespondWith(request, 200, {}); });
  Node& ingress = AddNode("suva-1", nullptr);
  WaitReady(AddNode("suva-2", &refusing));
  WaitReady(AddNode("suva-3", &accepting));
  for (int i = 0; refused == 0; ++i) {
    const CallerResponse response = Fetch(
        ingress, MakeRequest("POST", "/look/hold/1", "r" + std::to_string(i)));
    EXPECT_EQ(response.status, 200) << i;
  }
  EXPECT_EQ(refused, 1U);
}

// Guards against sending requests to another target that has taken over the
// address. It responds with 421; the request is reported as not run, and the
// gate sends it no further requests.
TEST_F(CustomHeadersTest, AMisdirectedRequestTakesTheTargetOutOfUse) {
  FakeTarget other_target(
      loop_, [](evhttp_request* request) { RespondWith(request, 421, {}); });
  Node& node = AddNode("suva-1", &other_target);
  WaitReady(node);
  const CallerResponse response =
      Fetch(node, MakeRequest("POST", "/look/hold/1", "r1"));
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(node.member.target, world::TargetState::kDown);
  Fetch(node, MakeRequest("POST", "/look/hold/1", "r2"));
  EXPECT_EQ(other_target.seen().size(), 1U);
}

// The target sends a response to an earlier request before the response to the
// current one. The ids tell them apart.
TEST_F(CustomHeadersTest, ALateResponseToAnotherRequestIsSkipped) {
  RawServer target(loop_,
                   "HTTP/1.1 200 OK\r\nId: older\r\nContent-Length: 5\r\n\r\n"
                   "wrongHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\n"
                   "right",
                   AfterResponse::kKeepOpen);
  Node& node = AddNode("suva-1", target.local());
  WaitReady(node);
  const CallerResponse response =
      Fetch(node, MakeRequest("GET", "/look/1", "r1"));
  EXPECT_EQ(response.body, "right");
}

TEST_F(CustomHeadersTest, UnsolicitedBytesAfterAResponseCloseTheConnection) {
  RawServer target(
      loop_,
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
      "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 5\r\n\r\nextra",
      AfterResponse::kKeepOpen);
  Node& node = AddNode("suva-1", target.local());
  WaitReady(node);
  EXPECT_EQ(Fetch(node, MakeRequest("GET", "/look/1", "r1")).body, "ok");
  RunUntil([&] { return target.closed() == 1; });
}

// Pipelined requests of a caller run concurrently and are answered in the order
// in which they were sent.
TEST_F(CustomHeadersTest, PipelinedRequestsRunConcurrently) {
  evhttp_request* first = nullptr;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/look/a") {
      first = request;
    } else {
      RespondWith(request, 200, {});
    }
  });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  RawClient caller(loop_, node.plane->callers());
  const auto request = [](const std::string& path, const std::string& id) {
    return "GET " + path + " HTTP/1.1\r\nHost: halls.example\r\nId: " + id +
           "\r\n\r\n";
  };
  caller.Write(request("/look/a", "r1") + request("/look/b", "r2"));
  RunUntil([&] { return target.seen().size() == 2; });
  EXPECT_EQ(caller.received(), "");
  RespondWith(first, 200, {});
  RunUntil(
      [&] { return caller.received().find("Id: r2") != std::string::npos; });
  EXPECT_LT(caller.received().find("Id: r1"), caller.received().find("Id: r2"));
}

// Another workload slows a host down, and the ingresses still have old load
// hints. The gate must probe the target before the run and have the request
// redirected instead of running it slowly.
TEST_F(CustomHeadersTest, AGateOnASlowedHostRedirectsRequests) {
  names_.load = "Load";
  names_.parse_load = ParsePercent;
  choice_ = policy::ChoiceKind::kExpectedValue;
  service_.health_path = "/health";
  service_.measuring.reports_per_second = 0.1;
  std::array<std::string, 2> load = {"100", "100"};
  std::array<size_t, 2> runs = {0, 0};
  const auto target = [&](size_t number) {
    return [&, number](evhttp_request* request) {
      if (std::string(evhttp_request_get_uri(request)) != "/health") {
        ++runs[number];
      }
      RespondWith(request, 200, {{"Load", load[number]}});
    };
  };
  FakeTarget one(loop_, target(0));
  FakeTarget two(loop_, target(1));
  for (world::Route& route : *routes_) {
    route.objective = std::chrono::microseconds(100);
  }
  Node& ingress = AddNode("suva-1", nullptr);
  WaitReady(AddNode("suva-2", &one));
  WaitReady(AddNode("suva-3", &two));
  for (int i = 0; i < 20; ++i) {
    Fetch(ingress, MakeRequest("GET", "/look/1", "a" + std::to_string(i)));
  }
  EXPECT_GT(runs[0], 0U);
  EXPECT_GT(runs[1], 0U);
  load[0] = "100000";
  runs = {0, 0};
  net::Timer later(loop_, [this] { loop_.Stop(); });
  for (int i = 0; i < 20; ++i) {
    later.StartOnce(std::chrono::milliseconds(15));  // the load report expires
    loop_.Run();
    EXPECT_EQ(
        Fetch(ingress, MakeRequest("GET", "/look/1", "b" + std::to_string(i)))
            .status,
        200);
  }
  EXPECT_LE(runs[0], 1U);
  EXPECT_GE(runs[1], 19U);
}

// Ingresses avoid a slowed target, so no response reports that its slow phase
// has ended. The gate must find out by itself, and stop to probe then.
TEST_F(CustomHeadersTest, ASlowedTargetIsProbedUntilItsSlowPhaseEnds) {
  names_.load = "Load";
  names_.parse_load = ParsePercent;
  choice_ = policy::ChoiceKind::kExpectedValue;
  service_.health_path = "/health";
  service_.measuring.reports_per_second = 0.1;
  std::string load = "100";
  size_t probes = 0;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    probes += std::string(evhttp_request_get_uri(request)) == "/health" ? 1 : 0;
    RespondWith(request, 200, {{"Load", load}});
  });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  load = "700";
  Fetch(node, MakeRequest("GET", "/look/1", "a"));
  net::Timer later(loop_, [this] { loop_.Stop(); });
  const auto wait = [&](Duration time) {
    later.StartOnce(time);
    loop_.Run();
  };
  probes = 0;
  wait(std::chrono::milliseconds(300));
  EXPECT_GE(probes, 2U);
  load = "100";
  wait(std::chrono::milliseconds(100));
  probes = 0;
  wait(std::chrono::milliseconds(300));
  EXPECT_LE(probes, 1U);
}

// A node at an older revision fetches the newer configuration file from the
// peer whose response carried the higher revision.
TEST_F(CustomHeadersTest, ANodeAtAnOlderRevisionFetchesTheFileOfItsPeer) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { RespondWith(request, 200, {}); });
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  gate.view.SetFleet(gate.view.fleet(), Revision(9));
  EXPECT_EQ(Fetch(ingress, MakeRequest("GET", "/look/1", "r1")).status, 200)
      << "request was refused because of a different revision";
  RunUntil([&] { return !ingress.files.empty(); });
  EXPECT_EQ(ingress.files.front().revision, Revision(9));
  EXPECT_EQ(ingress.files.front().encoded_text, "of suva-2");
}

}  // namespace
}  // namespace ibisvalve::dataplane

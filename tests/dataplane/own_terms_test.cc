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

// Nodes whose callers and targets use header names of their own, and whose
// file has routes.
class OwnTermsTest : public PlaneTest {
 protected:
  OwnTermsTest() {
    names_.deadline = "Time-Left";
    names_.request_id = "Id";
    names_.caller = "From-Service";
    names_.target = "Only-Target";
    names_.not_run = "Did-Not-Run";
    names_.own = false;
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
    routes_ = {lookups, holds};
  }

  static TargetRequest Ask(const std::string& method,
                           const std::string& path,
                           const std::string& id) {
    return {method, path, {{"Host", "Halls.example:80"}, {"Id", id}}, ""};
  }

  // Answers with the id of the request and `more` headers.
  static void AnswerWith(evhttp_request* request,
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

TEST_F(OwnTermsTest, ARequestCarriesTheNodesOwnWordsOnly) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { AnswerWith(request, 200, {}); });
  Node& node = AddNode("suva-1", &target);
  TargetAnnouncement ready;
  ready.identity = "run-7";
  node.plane->Announce(ready);
  WaitReady(node);
  TargetRequest request = Ask("GET", "/look/1", "r1");
  request.headers.emplace_back("From-Service", "forged");
  request.headers.emplace_back("Time-Left", "700");
  const CallerResponse answer = Fetch(node, request);
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.Get("Id"), "r1");
  EXPECT_EQ(answer.Get("Ibis-Outcome"), "");
  EXPECT_EQ(*FindHeader(target.headers(), "From-Service"), "bookdesk");
  EXPECT_EQ(*FindHeader(target.headers(), "Only-Target"), "run-7");
  EXPECT_LE(std::stoi(*FindHeader(target.headers(), "Time-Left")), 700);
  EXPECT_EQ(FindHeader(target.headers(), "Ibis-Depth"), nullptr);
}

TEST_F(OwnTermsTest, WhatNoRouteFitsIsNotFound) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { AnswerWith(request, 200, {}); });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  EXPECT_EQ(Fetch(node, Ask("GET", "/other/1", "r1")).status, 404);
  EXPECT_EQ(Fetch(node, Ask("GET", "/look/1", "r2")).status, 200);
}

// The target proves that it did not run the request: even one that may not be
// repeated goes on to another target.
TEST_F(OwnTermsTest, ARefusalOfATargetIsProof) {
  size_t refused = 0;
  FakeTarget full(loop_, [&](evhttp_request* request) {
    ++refused;
    AnswerWith(request, 503, {{"Did-Not-Run", "1"}});
  });
  FakeTarget free(
      loop_, [](evhttp_request* request) { AnswerWith(request, 200, {}); });
  Node& ingress = AddNode("suva-1", nullptr);
  WaitReady(AddNode("suva-2", &full));
  WaitReady(AddNode("suva-3", &free));
  for (int i = 0; refused == 0; ++i) {
    const CallerResponse answer =
        Fetch(ingress, Ask("POST", "/look/hold/1", "r" + std::to_string(i)));
    EXPECT_EQ(answer.status, 200) << i;
  }
  EXPECT_EQ(refused, 1U);
}

// Another target has taken the address over; the request must not run there
// and the gate gives no more work to it.
TEST_F(OwnTermsTest, AMisdirectedRequestStopsTheGate) {
  FakeTarget stranger(
      loop_, [](evhttp_request* request) { AnswerWith(request, 421, {}); });
  Node& node = AddNode("suva-1", &stranger);
  WaitReady(node);
  const CallerResponse answer = Fetch(node, Ask("POST", "/look/hold/1", "r1"));
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(node.member.target, world::TargetState::kDown);
  Fetch(node, Ask("POST", "/look/hold/1", "r2"));
  EXPECT_EQ(stranger.seen().size(), 1U);
}

// An answer to an earlier request comes where that of the present one is due.
TEST_F(OwnTermsTest, ALateAnswerOfAnotherRequestIsPassedOver) {
  RawServer target(loop_,
                   "HTTP/1.1 200 OK\r\nId: older\r\nContent-Length: 5\r\n\r\n"
                   "wrongHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\n"
                   "right",
                   AfterResponse::kKeepOpen);
  Node& node = AddNode("suva-1", target.local());
  WaitReady(node);
  const CallerResponse answer = Fetch(node, Ask("GET", "/look/1", "r1"));
  EXPECT_EQ(answer.body, "right");
}

TEST_F(OwnTermsTest, BytesAfterAnAnswerBelongToNoRequest) {
  RawServer target(
      loop_,
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
      "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 5\r\n\r\nextra",
      AfterResponse::kKeepOpen);
  Node& node = AddNode("suva-1", target.local());
  WaitReady(node);
  EXPECT_EQ(Fetch(node, Ask("GET", "/look/1", "r1")).body, "ok");
  RunUntil([&] { return target.closed() == 1; });
}

// Requests that a caller sends without waiting are served at the same time and
// answered in their order.
TEST_F(OwnTermsTest, PipelinedRequestsDoNotWaitForEachOther) {
  evhttp_request* first = nullptr;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/look/a") {
      first = request;
    } else {
      AnswerWith(request, 200, {});
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
  AnswerWith(first, 200, {});
  RunUntil(
      [&] { return caller.received().find("Id: r2") != std::string::npos; });
  EXPECT_LT(caller.received().find("Id: r1"), caller.received().find("Id: r2"));
}

// Pattern: a neighbour has just slowed a host down and its ingresses do not
// know yet. The gate asks before the run begins, and sends the request on.
TEST_F(OwnTermsTest, AGateSendsARequestOnRatherThanRunItSlowly) {
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
      AnswerWith(request, 200, {{"Load", load[number]}});
    };
  };
  FakeTarget one(loop_, target(0));
  FakeTarget two(loop_, target(1));
  for (world::Route& route : routes_) {
    route.objective = std::chrono::microseconds(100);
  }
  Node& ingress = AddNode("suva-1", nullptr);
  WaitReady(AddNode("suva-2", &one));
  WaitReady(AddNode("suva-3", &two));
  for (int i = 0; i < 20; ++i) {
    Fetch(ingress, Ask("GET", "/look/1", "a" + std::to_string(i)));
  }
  EXPECT_GT(runs[0], 0U);
  EXPECT_GT(runs[1], 0U);
  load[0] = "100000";
  runs = {0, 0};
  net::Timer later(loop_, [this] { loop_.Stop(); });
  for (int i = 0; i < 20; ++i) {
    later.StartOnce(std::chrono::milliseconds(15));  // the load grows old
    loop_.Run();
    EXPECT_EQ(
        Fetch(ingress, Ask("GET", "/look/1", "b" + std::to_string(i))).status,
        200);
  }
  EXPECT_LE(runs[0], 1U);
  EXPECT_GE(runs[1], 19U);
}

// A node behind learns the newer file from the peer whose answer told of it.
TEST_F(OwnTermsTest, ANodeBehindAsksThePeerForItsFile) {
  FakeTarget target(
      loop_, [](evhttp_request* request) { AnswerWith(request, 200, {}); });
  Node& ingress = AddNode("suva-1", nullptr);
  Node& gate = AddNode("suva-2", &target);
  WaitReady(gate);
  gate.view.SetFleet(gate.view.fleet(), Revision(9));
  EXPECT_EQ(Fetch(ingress, Ask("GET", "/look/1", "r1")).status, 200)
      << "another revision is no reason to refuse";
  RunUntil([&] { return !ingress.files.empty(); });
  EXPECT_EQ(ingress.files.front().revision, Revision(9));
  EXPECT_EQ(ingress.files.front().text, "of suva-2");
}

}  // namespace
}  // namespace ibisvalve::dataplane

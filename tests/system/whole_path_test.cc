#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <set>

#include "support/test_fleet.h"
#include "system/sample_fleet.h"

namespace ibisvalve::test {
namespace {

using std::chrono::seconds;

constexpr size_t kCallers = 6;

class WholePathTest : public testing::Test {
 protected:
  // Starts one keeper, and in each of three zones a node with a target of
  // `service`.
  void Start(const std::string& service,
             const std::string& service_time = "2ms",
             size_t keepers = 1) {
    fleet_.StartKeepers(keepers);
    for (const char* zone : {"suva", "nadi", "lautoka"}) {
      fleet_.StartNode(service, zone, service_time);
    }
    ASSERT_EQ(fleet_.Apply(kSampleFleet), 0);
    ASSERT_TRUE(fleet_.WaitReady(3));
  }

  TestNode& Node(size_t index) { return *fleet_.nodes().at(index); }

  static HttpRequest Lookup(const std::string& name) {
    return {"GET",
            "/rooms/" + name,
            {{"Ibis-Service", "roomfinder"}, {"X-Request-Name", name}},
            ""};
  }

  static HttpRequest Booking(const std::string& key) {
    return {"POST",
            "/bookings/" + key,
            {{"Ibis-Service", "bookdesk"},
             {"Idempotency-Key", key},
             {"X-Request-Name", key}},
            "hall for " + key};
  }

  TestFleet fleet_;
};

TEST_F(WholePathTest, TenThousandLookupsThroughThreeNodesAreNotSwapped) {
  constexpr size_t kRequests = 10'000;
  Start("roomfinder");
  std::vector<std::future<size_t>> callers;
  for (size_t caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::async(std::launch::async, [this, caller] {
      size_t wrong = 0;
      for (size_t i = caller; i < kRequests; i += kCallers) {
        const std::string name = "n" + std::to_string(i) + "n";
        const HttpResponse answer =
            SendRequest(Node(i % 3).callers, Lookup(name));
        const bool right =
            answer.status == 200 && answer.body_complete &&
            answer.Header("ibis-outcome") == "answered" &&
            answer.body.find("\"" + name + "\"") != std::string::npos;
        wrong += right ? 0 : 1;
      }
      return wrong;
    }));
  }
  size_t wrong = 0;
  for (auto& caller : callers) {
    wrong += caller.get();
  }
  EXPECT_EQ(wrong, 0U);
}

TEST_F(WholePathTest, TargetCrashNeverYieldsACompleteResponse) {
  Start("bookdesk");
  const HttpRequest cut{"GET",
                        "/bytes?size=200000&seed=1&cut=100000",
                        {{"Ibis-Service", "bookdesk"}},
                        ""};
  const HttpRequest whole{
      "GET", "/bytes?size=200000&seed=1", {{"Ibis-Service", "bookdesk"}}, ""};
  for (size_t i = 0; i < 3; ++i) {
    const HttpResponse answer = SendRequest(Node(i).callers, cut);
    EXPECT_FALSE(answer.status == 200 && answer.body_complete);
    const HttpResponse next = SendRequest(Node(i).callers, whole);
    EXPECT_EQ(next.status, 200);
    EXPECT_TRUE(next.body_complete);
    EXPECT_EQ(next.body.size(), 200000U);
  }
}

TEST_F(WholePathTest, KilledGateNeverRunsABookingTwice) {
  Start("bookdesk", "300ms");
  std::vector<std::future<HttpResponse>> callers;
  for (size_t i = 0; i < 24; ++i) {
    // All requests enter through node 0, which is not killed. Its ingress also
    // sends a share of them to the gates of nodes 1 and 2.
    callers.push_back(std::async(std::launch::async, [this, i] {
      return SendRequest(Node(0).callers, Booking("k" + std::to_string(i)));
    }));
  }
  ASSERT_TRUE(TestFleet::WaitFor(
      [&] { return fleet_.CountRunStarts("key").size() >= 20; }));
  Node(1).process->Kill();
  std::map<std::string, HttpResponse> answers;
  for (size_t i = 0; i < callers.size(); ++i) {
    answers["k" + std::to_string(i)] = callers[i].get();
  }
  std::map<std::string, int> starts = fleet_.CountRunStarts("key");
  for (const auto& [key, answer] : answers) {
    EXPECT_LE(starts[key], 1) << key;
    const std::string outcome = answer.Header("ibis-outcome");
    EXPECT_FALSE(outcome.empty()) << key;
    if (outcome == "not-run") {
      EXPECT_EQ(starts[key], 0) << key;
    }
    if (outcome == "answered") {
      EXPECT_EQ(starts[key], 1) << key;
      EXPECT_NE(answer.body.find("\"" + key + "\""), std::string::npos);
    }
  }
}

TEST_F(WholePathTest, DrainedTargetFinishesItsRunsAndGetsNoNewOnes) {
  Start("roomfinder", "500ms");
  std::vector<std::future<HttpResponse>> callers;
  for (size_t i = 0; i < 30; ++i) {
    callers.push_back(std::async(std::launch::async, [this, i] {
      return SendRequest(Node(i % 3).callers, Lookup("n" + std::to_string(i)));
    }));
  }
  ASSERT_TRUE(TestFleet::WaitFor(
      [&] { return fleet_.CountRunStarts("run").size() >= 25; }));
  EXPECT_EQ(SendRequest(Node(2).admin, {"POST", "/drain", {}, ""}).status / 100,
            2);
  // Both other nodes see the drained state within two seconds.
  EXPECT_TRUE(TestFleet::WaitFor(
      [&] {
        return TestFleet::TargetStateAt(Node(0), Node(2)) == "draining" &&
               TestFleet::TargetStateAt(Node(1), Node(2)) == "draining";
      },
      seconds(2)));
  for (auto& caller : callers) {
    EXPECT_EQ(caller.get().status, 200);
  }
  const auto size = std::filesystem::file_size(Node(2).run_log);
  for (size_t i = 0; i < 6; ++i) {
    const HttpResponse answer =
        SendRequest(Node(i % 3).callers, Lookup("late" + std::to_string(i)));
    EXPECT_EQ(answer.status, 200);
  }
  EXPECT_EQ(std::filesystem::file_size(Node(2).run_log), size);
}

TEST_F(WholePathTest, GracefulNodeStopCutsOffNoRequest) {
  Start("roomfinder", "1500ms");
  std::vector<std::future<HttpResponse>> callers;
  for (size_t i = 0; i < 9; ++i) {
    callers.push_back(std::async(std::launch::async, [this, i] {
      return SendRequest(Node(i % 3).callers, Lookup("n" + std::to_string(i)));
    }));
  }
  ASSERT_TRUE(TestFleet::WaitFor(
      [&] { return fleet_.CountRunStarts("run").size() >= 9; }));
  Node(1).process->Signal(SIGTERM);
  for (auto& caller : callers) {
    const HttpResponse answer = caller.get();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.body_complete);
  }
  EXPECT_EQ(Node(1).process->Wait(seconds(10)), 0);
  EXPECT_EQ(TestFleet::TargetStateAt(Node(0), Node(1)), "left");
}

}  // namespace
}  // namespace ibisvalve::test

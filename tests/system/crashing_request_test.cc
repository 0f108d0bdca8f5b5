#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <future>
#include <random>
#include <thread>

#include "support/test_fleet.h"
#include "system/sample_fleet.h"

namespace ibisvalve::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs a fleet of processes in which one request ends each target that runs it,
// as its callers send it again and again through any node, beside harmless
// requests and while nodes are killed, stopped, paused and added. The seed is
// IBIS_SEED, or 1.
class CrashingRequestTest : public testing::Test {
 protected:
  // By one and the same request, and by requests that agree in path and body.
  static constexpr int kMaxCrashes = 2;
  static constexpr int kMaxCrashesOfVariants = 3;
  static constexpr size_t kMaxNodes = 5;
  static constexpr size_t kHarmlessRequests = 4;

  void Start() {
    fleet_.StartKeepers(1);
    for (const char* zone : {"suva", "nadi", "lautoka"}) {
      fleet_.StartNode("roomfinder", zone, kServiceTime);
    }
    ASSERT_EQ(fleet_.Apply(kSampleFleet), 0);
    ASSERT_TRUE(fleet_.WaitReady(3));
  }

  size_t Random(size_t below) {
    return std::uniform_int_distribution<size_t>(0, below - 1)(random_);
  }
  TestNode& AnyNode() { return *fleet_.nodes()[Random(fleet_.nodes().size())]; }

  // Disturbs one node and waits until it reports that it is ready.
  void Disturb() {
    TestNode* node = &AnyNode();
    switch (Random(4)) {
      case 0:
        node->process->Kill();
        fleet_.StartProcess(*node);
        break;
      case 1:
        node->process->Signal(SIGTERM);
        node->process->Wait(seconds(10));
        fleet_.StartProcess(*node);
        break;
      case 2:
        node->process->Signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(400));
        node->process->Signal(SIGCONT);
        break;
      default:
        if (fleet_.nodes().size() < kMaxNodes) {
          node = &fleet_.StartNode("roomfinder", "suva", kServiceTime);
        }
        break;
    }
    ASSERT_TRUE(TestFleet::WaitFor([&] {
      return TestFleet::FetchAdminPage(node->admin, "/healthz")
          .value("ready", false);
    }));
  }

  // Sends `crashing` through any node, beside harmless ones.
  void SendBesideOthers(HttpRequest crashing) {
    std::vector<std::future<HttpResponse>> others;
    for (size_t i = 0; i < kHarmlessRequests; ++i) {
      others.push_back(std::async(
          std::launch::async,
          [callers = AnyNode().callers, path = Path("/rooms/")] {
            return SendRequest(
                callers, {"GET", path, {{"Ibis-Service", "roomfinder"}}, ""});
          }));
    }
    crashing.headers = {{"Ibis-Service", "roomfinder"}};
    SendRequest(AnyNode().callers, crashing);
    for (auto& other : others) {
      other.get();
    }
  }

  // Sends requests that end their targets, beside others and while nodes come
  // and go. `next` returns the request to send.
  void Play(const std::function<HttpRequest()>& next) {
    constexpr int kRounds = 20;
    constexpr int kSendsPerRound = 6;
    Start();
    for (int round = 0; round < kRounds && !HasFatalFailure(); ++round) {
      for (int i = 0; i < kSendsPerRound; ++i) {
        SendBesideOthers(next());
        RestartTargets();
      }
      Disturb();
    }
    EXPECT_GT(crashes_, 0);
  }

  std::string Path(const std::string& prefix) {
    return prefix + std::to_string(++paths_);
  }

  // Counts the targets that have ended, and starts them again.
  void RestartTargets() {
    for (const auto& node : fleet_.nodes()) {
      if (node->target_process->Wait(milliseconds(0))) {
        ++crashes_;
        fleet_.LaunchTarget(*node, kServiceTime);
      }
    }
  }

  static constexpr const char* kServiceTime = "30ms";

  TestFleet fleet_;
  const uint64_t seed_ = std::strtoull(
      std::getenv("IBIS_SEED") == nullptr ? "1" : std::getenv("IBIS_SEED"),
      nullptr,
      10);
  std::mt19937_64 random_{seed_};
  int paths_ = 0;
  int crashes_ = 0;
};

// Guards against targets that a request ends after it has ended two.
TEST_F(CrashingRequestTest, EndsAtMostTwoTargetsWhileNodesComeAndGo) {
  Play([] { return HttpRequest{"GET", kCrashPath, {}, ""}; });
  EXPECT_LE(crashes_, kMaxCrashes) << "seed " << seed_;
}

// Guards against targets that a request ends in other forms after it has ended
// three.
TEST_F(CrashingRequestTest, EndsAtMostThreeTargetsInOtherForms) {
  Play([this] {
    const char* method = Random(3) == 0 ? "POST" : "GET";
    const std::string query = Random(3) == 0 ? "" : Path("?page=");
    return HttpRequest{method, kCrashPath + query, {}, ""};
  });
  EXPECT_LE(crashes_, kMaxCrashesOfVariants) << "seed " << seed_;
}

}  // namespace
}  // namespace ibisvalve::test

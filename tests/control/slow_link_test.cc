#include <random>

#include "control/keeper_fixture.h"
#include "support/slow_relay.h"

namespace ibisvalve::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Text that does not become shorter by compression.
std::string RandomText(size_t bytes) {
  std::mt19937 random(7);
  std::uniform_int_distribution<int> any(' ', '~');
  std::string text(bytes, ' ');
  for (char& c : text) {
    c = static_cast<char>(any(random));
  }
  return text;
}

// One keeper whose nodes are behind a slow link.
class SlowLinkTest : public KeeperFixture {
 protected:
  void Start(size_t bytes_per_second) {
    Reserve(1);
    StartKeeper(0);
    relay_.emplace(loop_, endpoints_[0], bytes_per_second);
    endpoints_ = {relay_->local()};
  }
  nlohmann::json Apply(int number, const std::string& text) {
    return AskJson(0, "POST",
                   "/apply?change=c" + std::to_string(number) +
                       "&base=" + std::to_string(number - 1),
                   text);
  }

  std::optional<SlowRelay> relay_;
};

// Guards against a transfer that never ends: lease grants wait behind the file,
// and a node that gave up its keeper for lack of a grant began the file anew.
TEST_F(SlowLinkTest, NodeReceivesAFileThatTakesLongerThanItWaitsForAGrant) {
  constexpr size_t kBytesPerSecond = 200'000;
  Start(kBytesPerSecond);
  Apply(1, RandomText(2 * kBytesPerSecond));
  const auto node = StartNode("node-1");
  EXPECT_TRUE(RunUntil([&] { return !node->activated.empty(); }, seconds(5)));
}

}  // namespace
}  // namespace ibisvalve::control

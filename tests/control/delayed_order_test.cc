#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <optional>
#include <thread>
#include <vector>

#include "control/keeper_fixture.h"
#include "control/zone_orders.h"

namespace ibisvalve::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Five keepers, each on an event loop of its own, so that one can be suspended
// while the others run on.
class DelayedOrderTest : public testing::Test {
 protected:
  using Answer = std::optional<net::HttpResult>;

  struct Instance {
    net::EventLoop loop;
    std::unique_ptr<net::AdminServer> admin;
    std::unique_ptr<Keeper> keeper;
    bool suspended = false;
  };

  void SetUp() override {
    KeeperSettings settings;
    for (size_t i = 0; i < keepers_.size(); ++i) {
      settings.keepers.push_back(test::FreeEndpoint());
    }
    for (size_t i = 0; i < keepers_.size(); ++i) {
      Instance& instance = keepers_[i];
      settings.id = NodeId("keeper-" + std::to_string(i + 1));
      settings.control = settings.keepers[i];
      settings.data = folders_[i].path();
      instance.admin = std::make_unique<net::AdminServer>(
          instance.loop, world::Endpoint{"127.0.0.1", 0});
      instance.keeper = std::make_unique<Keeper>(
          instance.loop, settings, [](const std::string&) {
            return CheckedFile{
                "", seconds(2), true, {ZoneName("suva"), ZoneName("nadi")}, {}};
          });
      instance.keeper->Serve(*instance.admin);
    }
    ASSERT_TRUE(RunUntil([&] {
      leader_ = Json(0, "/keepers").value("leader", "");
      return !leader_.empty();
    }));
    ASSERT_EQ(Ask(0, "POST", "/apply?change=c1&base=0", "file").status, 200);
    while (leader_ == "keeper-" + std::to_string(follower_ + 1)) {
      ++follower_;
    }
    other_ = (follower_ + 1) % keepers_.size();
  }

  // Runs the loops that are not suspended until `condition` holds.
  bool RunUntil(const std::function<bool()>& condition,
                Duration limit = seconds(20)) {
    const Time end = client_.Now() + limit;
    while (!condition()) {
      if (client_.Now() >= end) {
        return false;
      }
      client_.Poll();
      for (Instance& instance : keepers_) {
        if (!instance.suspended) {
          instance.loop.Poll();
        }
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }

  void RunFor(Duration duration) {
    RunUntil([] { return false; }, duration);
  }

  void Send(size_t number,
            const std::string& method,
            const std::string& path,
            Answer& answer,
            const std::string& body = "") {
    net::FetchHttp(client_, keepers_[number].admin->local(), method, path, body,
                   seconds(10),
                   [&answer](const net::HttpResult& got) { answer = got; });
  }

  net::HttpResult Ask(size_t number,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body = "") {
    Answer answer;
    Send(number, method, path, answer, body);
    EXPECT_TRUE(RunUntil([&] { return answer.has_value(); }));
    return answer.value_or(net::HttpResult());
  }

  nlohmann::json Json(size_t number, const std::string& path) {
    return nlohmann::json::parse(Ask(number, "GET", path).body, nullptr, false);
  }

  // Sends an order, and again if it is refused, as an operator does.
  void Order(size_t number, const std::string& order) {
    ASSERT_TRUE(RunUntil([&] {
      return Ask(number, "POST", "/zones/" + order + "?zone=suva").status ==
             200;
    }));
    RunFor(milliseconds(300));  // until all keepers know of it
  }

  // Sends an order to restore the zone to `keeper` while it is suspended, and
  // has `asked` carry out `between`. Returns the answer to the delayed order.
  int DelayRestore(size_t keeper,
                   size_t asked,
                   const std::vector<std::string>& between) {
    keepers_[keeper].suspended = true;
    Answer late;
    Send(keeper, "POST", "/zones/restore?zone=suva", late);
    for (const std::string& order : between) {
      Order(asked, order);
    }
    keepers_[keeper].suspended = false;
    EXPECT_TRUE(RunUntil([&] { return late.has_value(); }));
    return late.value_or(net::HttpResult()).status;
  }

  bool Evacuated() {
    return Json(other_, "/fleet")["evacuated"] == nlohmann::json({"suva"});
  }

  std::array<Instance, 5> keepers_;
  std::array<TemporaryFolder, 5> folders_;
  net::EventLoop client_;
  std::string leader_;
  size_t follower_ = 0;  // a keeper that does not lead
  size_t other_ = 0;     // another keeper than the follower
};

// A keeper that woke carried out an old order that had lain in its socket, and
// undid a newer one that had been acknowledged.
TEST_F(DelayedOrderTest, AnOrderReadAfterASuspensionDoesNotUndoANewerOne) {
  Order(other_, "evacuate");
  EXPECT_EQ(DelayRestore(follower_, other_, {"restore", "evacuate"}), 503);
  EXPECT_TRUE(Evacuated());
}

// The same for the leader, which has been replaced when it wakes.
TEST_F(DelayedOrderTest, AnOrderReadByASuspendedLeaderDoesNotUndoANewerOne) {
  const size_t leader = std::stoul(leader_.substr(leader_.find('-') + 1)) - 1;
  Order(follower_, "evacuate");
  EXPECT_EQ(DelayRestore(leader, follower_, {"restore", "evacuate"}), 503);
  EXPECT_TRUE(Evacuated());
}

// The same for an order that changed nothing and was acknowledged.
TEST_F(DelayedOrderTest, ADelayedOrderDoesNotUndoOneThatWasConfirmedSince) {
  Order(other_, "evacuate");
  DelayRestore(follower_, other_, {"evacuate"});
  EXPECT_TRUE(Evacuated());
}

// Guards against a refusal of the orders that follow: a keeper that has woken
// takes new ones.
TEST_F(DelayedOrderTest, AKeeperThatWasSuspendedTakesNewOrders) {
  Order(other_, "evacuate");
  keepers_[follower_].suspended = true;
  Order(other_, "restore");
  Order(other_, "evacuate");
  keepers_[follower_].suspended = false;
  RunFor(milliseconds(300));
  EXPECT_EQ(Ask(follower_, "POST", "/zones/restore?zone=suva").status, 200);
  EXPECT_FALSE(Evacuated());
}

// Keepers that were removed and are back must not be removed by a delayed copy
// of the order.
TEST_F(DelayedOrderTest, ADelayedRemovalOfAKeeperIsNotCarriedOutTwice) {
  size_t removed = 0;
  while (removed == follower_ || removed == other_ ||
         leader_ == "keeper-" + std::to_string(removed + 1)) {
    ++removed;
  }
  const std::string id = "keeper-" + std::to_string(removed + 1);
  keepers_[follower_].suspended = true;
  Answer late;
  Send(follower_, "POST", "/keepers/remove?id=" + id, late);
  const auto repeat = [&](const std::string& page) {
    ASSERT_TRUE(
        RunUntil([&] { return Ask(other_, "POST", page).status == 200; }));
    RunFor(milliseconds(500));
  };
  repeat("/keepers/remove?id=" + id);
  repeat("/keepers/add?id=" + id +
         "&control=" + world::ToString(keepers_[removed].keeper->control()));
  keepers_[follower_].suspended = false;
  EXPECT_TRUE(RunUntil([&] { return late.has_value(); }));
  EXPECT_NE(late.value_or(net::HttpResult()).status, 200);
  const nlohmann::json members = Json(other_, "/keepers")["members"];
  EXPECT_EQ(members.size(), keepers_.size()) << members;
}

// One operator gives an order after the other. Each is sent in copies that
// arrive at any time, until one is acknowledged or the operator gives it up.
RC_GTEST_PROP(ZoneOrdersTest, NoDelayedCopyUndoesAnAcknowledgedOrder, ()) {
  const ZoneName zone("suva");
  ZoneOrders orders;
  uint64_t index = 0;
  std::vector<OrderZone> delayed;
  const auto deliver_some = [&] {
    const auto copies = *rc::gen::inRange<int>(0, 4);
    for (int copy = 0; copy < copies && !delayed.empty(); ++copy) {
      orders.Apply(delayed[*rc::gen::inRange<size_t>(0, delayed.size())],
                   ++index);
    }
  };
  const auto count = *rc::gen::inRange<int>(1, 12);
  for (int i = 0; i < count; ++i) {
    OrderZone order{zone, *rc::gen::arbitrary<bool>(), 0};
    // Received by a keeper that knows some of the log.
    order.known = index - *rc::gen::inRange<uint64_t>(0, index + 1);
    delayed.push_back(order);
    deliver_some();
    if (*rc::gen::inRange(0, 3) == 0) {
      continue;  // given up
    }
    order.known = index;
    RC_ASSERT(orders.Apply(order, ++index) == ZoneOrderResult::kCarriedOut);
    delayed.push_back(order);
    deliver_some();
    RC_ASSERT(orders.evacuated().contains(zone) == order.evacuated);
  }
}

// Entries and snapshots of earlier releases say nothing of what was known.
TEST(ZoneOrdersTest, OrdersOfEarlierReleasesAreReadAndCarriedOut) {
  std::string bytes;
  wire::OutArchive archive(bytes);
  archive(ZoneName("suva"), true);
  ZoneOrders orders;
  orders.Apply(OrderZone{ZoneName("suva"), false, 6}, 7);
  EXPECT_EQ(orders.Apply(wire::Decode<OrderZone>(bytes), 8),
            ZoneOrderResult::kCarriedOut);
  EXPECT_TRUE(orders.evacuated().contains(ZoneName("suva")));
}

}  // namespace
}  // namespace ibisvalve::control

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "control/keeper_fixture.h"
#include "control/keeper_links.h"

namespace ibisvalve::control {
namespace {

using std::chrono::milliseconds;

// An endpoint whose host does not answer connection requests, like a host
// without power: its accept queue is full, so the kernel drops them. A client's
// kernel repeats a request after one second.
class UnansweredEndpoint {
 public:
  UnansweredEndpoint() : listener_(NewSocket()) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(listener_, generic, length), 0);
    EXPECT_EQ(listen(listener_, 0), 0);
    EXPECT_EQ(getsockname(listener_, generic, &length), 0);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
    for (int& filler : fillers_) {
      filler = NewSocket();
      EXPECT_TRUE(connect(filler, generic, length) == 0 ||
                  errno == EINPROGRESS);
    }
  }
  ~UnansweredEndpoint() {
    close(listener_);
    for (const int filler : fillers_) {
      close(filler);
    }
  }
  UnansweredEndpoint(const UnansweredEndpoint&) = delete;
  UnansweredEndpoint& operator=(const UnansweredEndpoint&) = delete;

  const world::Endpoint& endpoint() const { return endpoint_; }
  // Accepts all pending connections, so that later ones are answered. Returns
  // whether one of a client was among them.
  bool AcceptPending() {
    sockaddr_in peer{};
    socklen_t length = sizeof(peer);
    int fd = -1;
    bool client = false;
    while ((fd = accept(listener_, reinterpret_cast<sockaddr*>(&peer),
                        &length)) >= 0) {
      client |= !IsFiller(peer.sin_port);
      close(fd);
    }
    return client;
  }

 private:
  static int NewSocket() {
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  }
  bool IsFiller(in_port_t port) const {
    return std::any_of(fillers_.begin(), fillers_.end(), [port](int filler) {
      sockaddr_in local{};
      socklen_t length = sizeof(local);
      return getsockname(filler, reinterpret_cast<sockaddr*>(&local),
                         &length) == 0 &&
             local.sin_port == port;
    });
  }

  int listener_;
  std::array<int, 4> fillers_{};
  world::Endpoint endpoint_;
};

class UnansweredConnectTest : public KeeperFixture {};

// Pattern: all hosts lose power and return within some 100 ms of each other. A
// keeper that waits for the kernel to repeat its first connection request finds
// the others, and a majority, a second later than it could.
TEST_F(UnansweredConnectTest, AKeeperReconnectsSoonAfterTheOtherHostReturns) {
  UnansweredEndpoint other;
  KeeperLinks links(loop_,
                    {[] { return wire::KeeperHello(); },
                     [](const world::Endpoint&, const wire::KeeperHello&) {},
                     [](wire::FrameType, std::string_view) {}});
  links.SetEndpoints({other.endpoint()});
  RunFor(milliseconds(150));
  other.AcceptPending();
  EXPECT_TRUE(
      RunUntil([&] { return other.AcceptPending(); }, milliseconds(600)));
}

// A node must not lose its first second to a keeper without power while another
// keeper is up.
TEST_F(UnansweredConnectTest, ANodeTriesTheNextKeeperSoon) {
  UnansweredEndpoint dead;
  Reserve(1);
  StartKeeper(0);
  RunUntil([&] {
    return Ask(0, "POST", "/apply?change=c1&base=0", "file 1").status == 200;
  });
  endpoints_ = {dead.endpoint(), endpoints_[0]};
  std::string name = "a";
  while (std::hash<NodeId>()(NodeId(name)) % endpoints_.size() != 0) {
    name += "a";
  }
  const auto node = StartNode(name);
  EXPECT_TRUE(
      RunUntil([&] { return !node->activated.empty(); }, milliseconds(900)));
}

}  // namespace
}  // namespace ibisvalve::control

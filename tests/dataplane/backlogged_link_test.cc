#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>

#include "dataplane/mesh_link.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;

// Fixture with a link to a peer that reads at a limited rate and sends nothing.
class BackloggedLinkTest : public testing::Test {
 protected:
  static constexpr Duration kSilence = milliseconds(100);
  static constexpr size_t kBodyBytes = 8 << 20;
  static constexpr size_t kReadBytes = 32 << 10;
  static constexpr Duration kReadInterval = milliseconds(5);
  static constexpr int kReceiveBufferBytes = 64 << 10;

  BackloggedLinkTest() {
    read_timer_.StartPeriodic(kReadInterval);
    limit_timer_.StartOnce(std::chrono::seconds(30));
    MeshLink::Handlers handlers;
    handlers.on_failed = [this](LinkFailure failure, const std::string&) {
      failure_ = failure;
      failed_at_ = loop_.Now();
      loop_.Stop();
    };
    link_.emplace(loop_, listener_.local(), wire::MeshHello{}, silence_,
                  std::move(handlers));
    link_->BeginAttempt();
    wire::BodyPart part;
    part.bytes.assign(kReadBytes, 'x');
    for (size_t sent = 0; sent < kBodyBytes; sent += kReadBytes) {
      link_->Send(part);
    }
  }
  ~BackloggedLinkTest() override { close(peer_); }

  void Accept(int fd) {
    peer_ = fd;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
  }

  void ReadSome() {
    std::array<char, kReadBytes> bytes{};
    const ssize_t count = peer_ < 0 || received_ >= read_limit_
                              ? 0
                              : read(peer_, bytes.data(), bytes.size());
    received_ += static_cast<size_t>(std::max<ssize_t>(count, 0));
    if (received_ >= kBodyBytes) {
      loop_.Stop();
    }
    if (received_ < read_limit_) {
      last_read_ = loop_.Now();
    }
  }

  net::EventLoop loop_;
  policy::SilenceBound silence_{{kSilence, kSilence}};
  int peer_ = -1;
  size_t received_ = 0;
  size_t read_limit_ = SIZE_MAX;  // the peer stops to read here
  Time last_read_{};
  std::optional<LinkFailure> failure_;
  Time failed_at_{};
  net::Timer read_timer_{loop_, [this] { ReadSome(); }};
  net::Timer limit_timer_{loop_, [this] {
                            ADD_FAILURE() << "did not finish within 30 s";
                            loop_.Stop();
                          }};
  net::Listener listener_{loop_, {"127.0.0.1", 0}, [this](int fd) {
                            Accept(fd);
                          }};
  std::optional<MeshLink> link_;
};

// Guards against a link that is given up as silent while its backlog, behind
// which the heartbeats wait, is being received.
TEST_F(BackloggedLinkTest, ALinkWhoseBacklogDrainsIsNotSilent) {
  loop_.Run();
  EXPECT_FALSE(failure_) << received_ << " bytes received";
  EXPECT_GE(received_, kBodyBytes);
}

// Guards against a broken link that is found late because of its backlog.
TEST_F(BackloggedLinkTest, ALinkWhoseBacklogStopsToDrainIsSilent) {
  read_limit_ = kBodyBytes / 4;
  loop_.Run();
  EXPECT_EQ(failure_, LinkFailure::kSilent);
  EXPECT_LE(failed_at_ - last_read_, 2 * kSilence);
}

}  // namespace
}  // namespace ibisvalve::dataplane

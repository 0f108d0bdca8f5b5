#include "net/datagram_socket.h"

#include <event2/event.h>
#include <event2/util.h>
#include <glog/logging.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "net/socket_address.h"

namespace ibisvalve::net {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;
constexpr int kMaxDatagramsPerRead = 64;  // bounds the delay of other events

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop,
                               const world::Endpoint& local,
                               Handler on_datagram)
    : on_datagram_(std::move(on_datagram)) {
  const SocketAddress address = ToSocketAddress(local);
  fd_ = socket(address.storage.ss_family,
               SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    throw SystemError("cannot create a UDP socket", errno);
  }
  if (bind(fd_, address.get(), address.length) != 0) {
    const int error = errno;
    close(fd_);
    throw SystemError("cannot bind UDP to " + world::ToString(local), error);
  }
  event_ = event_new(
      loop.base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, int16_t, void* argument) {
        static_cast<DatagramSocket*>(argument)->OnReadable();
      },
      this);
  CHECK_EQ(event_add(event_, nullptr), 0);
}

DatagramSocket::~DatagramSocket() {
  event_free(event_);
  close(fd_);
}

void DatagramSocket::Send(const world::Endpoint& to, std::string_view bytes) {
  const SocketAddress address = ToSocketAddress(to);
  sendto(fd_, bytes.data(), bytes.size(), 0, address.get(), address.length);
}

world::Endpoint DatagramSocket::local() const {
  return LocalEndpoint(fd_);
}

void DatagramSocket::OnReadable() {
  char buffer[kMaxDatagramBytes];
  for (int i = 0; i < kMaxDatagramsPerRead; ++i) {
    SocketAddress from;
    from.length = sizeof(from.storage);
    const ssize_t size =
        recvfrom(fd_, buffer, sizeof(buffer), 0, from.get(), &from.length);
    if (size < 0) {
      return;
    }
    on_datagram_(FromSocketAddress(from),
                 std::string_view(buffer, static_cast<size_t>(size)));
  }
}

}  // namespace ibisvalve::net

#include "net/frame_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glog/logging.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "net/socket_address.h"

namespace ibisvalve::net {
namespace {

constexpr int kListenBacklog = 1024;

void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

std::unique_ptr<FrameLink> FrameLink::Connect(EventLoop& loop,
                                              const world::Endpoint& remote,
                                              Handlers handlers,
                                              size_t max_payload) {
  std::unique_ptr<FrameLink> link(
      new FrameLink(loop, -1, std::move(handlers), max_payload));
  const SocketAddress address = ToSocketAddress(remote);
  if (bufferevent_socket_connect(link->bufferevent_, address.get(),
                                 static_cast<int>(address.length)) != 0) {
    // on_closed must not run before the caller has received the link, so the
    // failure is reported from the loop.
    loop.Post([raw = link.get(), alive = link->alive_] {
      if (*alive) {
        raw->Fail("cannot connect");
      }
    });
  }
  return link;
}

std::unique_ptr<FrameLink> FrameLink::Accept(EventLoop& loop,
                                             int fd,
                                             Handlers handlers,
                                             size_t max_payload) {
  std::unique_ptr<FrameLink> link(
      new FrameLink(loop, fd, std::move(handlers), max_payload));
  DisableNagle(fd);
  link->connected_ = true;
  return link;
}

FrameLink::FrameLink(EventLoop& loop,
                     int fd,
                     Handlers handlers,
                     size_t max_payload)
    : handlers_(std::move(handlers)), max_payload_(max_payload) {
  bufferevent_ = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  CHECK_NOTNULL(bufferevent_);
  bufferevent_setcb(
      bufferevent_,
      [](bufferevent*, void* argument) {
        static_cast<FrameLink*>(argument)->OnReadable();
      },
      [](bufferevent*, void* argument) {
        auto* link = static_cast<FrameLink*>(argument);
        if (link->handlers_.on_drained && link->connected_) {
          link->handlers_.on_drained();
        }
      },
      [](bufferevent*, int16_t what, void* argument) {
        static_cast<FrameLink*>(argument)->OnEvent(what);
      },
      this);
  bufferevent_enable(bufferevent_, EV_READ | EV_WRITE);
}

FrameLink::~FrameLink() {
  *alive_ = false;
  Close();
}

void FrameLink::SendRaw(const std::string& frame) {
  if (bufferevent_ == nullptr) {
    return;
  }
  sent_bytes_ += frame.size();
  bufferevent_write(bufferevent_, frame.data(), frame.size());
}

void FrameLink::Close() {
  connected_ = false;
  if (bufferevent_ != nullptr) {
    bufferevent_free(std::exchange(bufferevent_, nullptr));
  }
}

void FrameLink::SetReading(bool reading) {
  if (bufferevent_ == nullptr) {
    return;
  }
  if (reading) {
    bufferevent_enable(bufferevent_, EV_READ);
  } else {
    bufferevent_disable(bufferevent_, EV_READ);
  }
}

size_t FrameLink::pending_bytes() const {
  return bufferevent_ == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(bufferevent_));
}

uint64_t FrameLink::delivered_bytes() const {
  int in_system = 0;  // neither sent nor confirmed
  if (bufferevent_ == nullptr ||
      ioctl(bufferevent_getfd(bufferevent_), SIOCOUTQ, &in_system) != 0) {
    in_system = 0;
  }
  const uint64_t undelivered =
      pending_bytes() + static_cast<uint64_t>(std::max(in_system, 0));
  return sent_bytes_ - std::min(sent_bytes_, undelivered);
}

uint64_t FrameLink::arrived_bytes() const {
  return received_bytes_ +
         (bufferevent_ == nullptr
              ? 0
              : evbuffer_get_length(bufferevent_get_input(bufferevent_)));
}

void FrameLink::OnReadable() {
  const std::shared_ptr<bool> alive = alive_;
  try {
    while (*alive && bufferevent_ != nullptr && DeliverNextFrame()) {
    }
  } catch (const wire::WireError& error) {
    if (*alive) {
      Fail(error.what());
    }
  }
}

bool FrameLink::DeliverNextFrame() {
  evbuffer* input = bufferevent_get_input(bufferevent_);
  char head[wire::kFrameHeaderBytes];
  const ev_ssize_t copied = evbuffer_copyout(input, head, sizeof(head));
  const auto header = wire::ParseHeader(
      std::string_view(head, copied < 0 ? 0 : static_cast<size_t>(copied)),
      max_payload_);
  if (!header) {
    return false;
  }
  const size_t frame_bytes = wire::kFrameHeaderBytes + header->length;
  if (evbuffer_get_length(input) < frame_bytes) {
    return false;
  }
  // The payload is copied out first because the handler may destroy the link.
  std::string payload(header->length, '\0');
  evbuffer_drain(input, wire::kFrameHeaderBytes);
  evbuffer_remove(input, payload.data(), payload.size());
  received_bytes_ += frame_bytes;
  handlers_.on_frame(header->type, payload);
  return true;
}

void FrameLink::OnEvent(int16_t what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connected_ = true;
    DisableNagle(bufferevent_getfd(bufferevent_));
    if (handlers_.on_connected) {
      handlers_.on_connected();
    }
    return;
  }
  if ((what & BEV_EVENT_EOF) != 0) {
    Fail("closed by the peer");
  } else if ((what & BEV_EVENT_ERROR) != 0) {
    const int error = EVUTIL_SOCKET_ERROR();
    refused_ = !connected_ && error == ECONNREFUSED;
    Fail(std::strerror(error));
  }
}

void FrameLink::Fail(const std::string& why) {
  if (bufferevent_ == nullptr) {
    return;
  }
  Close();
  if (handlers_.on_closed) {
    // Copied because the callback may destroy the link.
    const auto on_closed = handlers_.on_closed;
    on_closed(why);
  }
}

Listener::Listener(EventLoop& loop,
                   const world::Endpoint& local,
                   std::function<void(int fd)> on_accept)
    : on_accept_(std::move(on_accept)) {
  const SocketAddress address = ToSocketAddress(local);
  listener_ = evconnlistener_new_bind(
      loop.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument) {
        static_cast<Listener*>(argument)->on_accept_(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, address.get(), static_cast<int>(address.length));
  if (listener_ == nullptr) {
    throw SystemError("cannot listen at " + world::ToString(local), errno);
  }
}

Listener::~Listener() {
  evconnlistener_free(listener_);
}

world::Endpoint Listener::local() const {
  return LocalEndpoint(evconnlistener_get_fd(listener_));
}

}  // namespace ibisvalve::net

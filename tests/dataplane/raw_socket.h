#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <list>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/net.h"

namespace ibisvalve::dataplane {

/// TCP client for tests that write and read raw bytes.
class RawClient {
 public:
  RawClient(net::EventLoop& loop, const world::Endpoint& server)
      : end_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        end_,
        [](bufferevent* end, void* argument) {
          auto* self = static_cast<RawClient*>(argument);
          evbuffer* input = bufferevent_get_input(end);
          std::string bytes(evbuffer_get_length(input), '\0');
          evbuffer_remove(input, bytes.data(), bytes.size());
          self->received_ += bytes;
        },
        nullptr,
        [](bufferevent*, int16_t what, void* argument) {
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<RawClient*>(argument)->closed_ = true;
          }
        },
        this);
    bufferevent_enable(end_, EV_READ | EV_WRITE);
    const net::SocketAddress address = net::ToSocketAddress(server);
    bufferevent_socket_connect(end_, address.get(),
                               static_cast<int>(address.length));
  }
  ~RawClient() { Close(); }

  void Write(const std::string& bytes) {
    bufferevent_write(end_, bytes.data(), bytes.size());
  }
  void Close() {
    if (end_ != nullptr) {
      bufferevent_free(std::exchange(end_, nullptr));
    }
  }
  void Reset() {
    const linger reset_on_close{1, 0};
    setsockopt(bufferevent_getfd(end_), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    Close();
  }
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }
  bufferevent* end() { return end_; }

 private:
  bufferevent* end_;
  std::string received_;
  bool closed_ = false;
};

/// What a RawServer does with a connection after its response.
enum class AfterResponse : uint8_t { kKeepOpen, kClose, kReset };

/// TCP server that sends fixed bytes once it has received the header of a
/// request and then closes the connection, resets it or leaves it open.
class RawServer {
 public:
  RawServer(net::EventLoop& loop, std::string response, AfterResponse end)
      : response_(std::move(response)),
        end_(end),
        loop_(loop),
        listener_(loop, {"127.0.0.1", 0}, [this, &loop](int fd) {
          Accept(loop, fd);
        }) {}
  ~RawServer() {
    for (bufferevent* end : ends_) {
      bufferevent_free(end);
    }
  }

  world::Endpoint local() const { return listener_.local(); }
  /// Replaces the bytes of later responses and what follows them.
  void SetResponse(const std::string& response, AfterResponse end) {
    response_ = response;
    end_ = end;
  }
  size_t requests() const { return requests_; }
  /// Returns the number of connections with a request that the peer has closed.
  size_t closed() const { return closed_; }

 private:
  void Accept(net::EventLoop& loop, int fd) {
    bufferevent* end =
        bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    ends_.push_back(end);
    bufferevent_setcb(
        end,
        [](bufferevent* readable, void* argument) {
          static_cast<RawServer*>(argument)->OnReadable(readable);
        },
        [](bufferevent* written, void* argument) {
          auto* self = static_cast<RawServer*>(argument);
          if (self->asked_.count(written) == 0 ||
              self->end_ == AfterResponse::kKeepOpen) {
            return;
          }
          const int socket = bufferevent_getfd(written);
          if (self->end_ == AfterResponse::kClose) {
            shutdown(socket, SHUT_RDWR);
            return;
          }
          // Delayed so that the peer reads the bytes before it gets the reset.
          self->reset_.push_back(std::make_unique<net::Timer>(
              self->loop_, [self, written] { self->Reset(written); }));
          self->reset_.back()->StartOnce(std::chrono::milliseconds(20));
        },
        [](bufferevent* closed, int16_t what, void* argument) {
          auto* self = static_cast<RawServer*>(argument);
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            self->closed_ += self->asked_.erase(closed);
          }
        },
        this);
    bufferevent_enable(end, EV_READ | EV_WRITE);
  }

  void OnReadable(bufferevent* end) {
    evbuffer* input = bufferevent_get_input(end);
    if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
      return;
    }
    evbuffer_drain(input, evbuffer_get_length(input));
    ++requests_;
    asked_.insert(end);
    bufferevent_write(end, response_.data(), response_.size());
  }

  void Reset(bufferevent* end) {
    if (asked_.erase(end) == 0) {
      return;  // closed by the peer, or reset already
    }
    const linger reset_on_close{1, 0};
    setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    ends_.remove(end);
    bufferevent_free(end);
  }

  std::string response_;
  AfterResponse end_;
  net::EventLoop& loop_;
  std::vector<std::unique_ptr<net::Timer>> reset_;
  std::list<bufferevent*> ends_;
  std::set<bufferevent*> asked_;
  size_t requests_ = 0;
  size_t closed_ = 0;
  net::Listener listener_;
};

}  // namespace ibisvalve::dataplane

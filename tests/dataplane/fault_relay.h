#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <list>
#include <memory>
#include <utility>

#include "net/net.h"

namespace ibisvalve::dataplane {

/// TCP proxy to one endpoint that can inject faults into its open connections:
/// stalls in one or both directions, and resets.
class FaultRelay {
 public:
  /// Directions in which bytes are held back.
  enum class Direction { kForward, kBackward, kBoth };

  explicit FaultRelay(net::EventLoop& loop)
      : loop_(loop),
        listener_(loop, {"127.0.0.1", 0}, [this](int fd) { Accept(fd); }) {}
  ~FaultRelay() {
    for (const auto& pair : pairs_) {
      bufferevent_free(pair->client);
      bufferevent_free(pair->server);
    }
  }

  world::Endpoint local() const { return listener_.local(); }
  void SetTarget(const world::Endpoint& target) { target_ = target; }
  /// Stalls the open connections. New connections are not affected.
  void Stall(Direction direction) {
    for (const auto& pair : pairs_) {
      pair->stall_forward |= direction != Direction::kBackward;
      pair->stall_backward |= direction != Direction::kForward;
    }
  }
  /// Resumes the stalled connections and forwards the bytes held back.
  void Resume() {
    for (const auto& pair : pairs_) {
      pair->stall_forward = pair->stall_backward = false;
      ForwardBytes(*pair);
    }
  }
  /// Resets the open connections.
  void Reset() {
    for (const auto& pair : pairs_) {
      const linger reset_on_close{1, 0};
      for (bufferevent* end : {pair->client, pair->server}) {
        setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER,
                   &reset_on_close, sizeof(reset_on_close));
        bufferevent_free(end);
      }
    }
    pairs_.clear();
  }
  size_t connections() const { return pairs_.size(); }

 private:
  struct Pair {
    bufferevent* client;
    bufferevent* server;
    bool stall_forward = false;
    bool stall_backward = false;
  };

  void Accept(int fd) {
    auto& pair = *pairs_.emplace_back(std::make_unique<Pair>(
        Pair{bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE),
             bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE)}));
    const auto readable = [](bufferevent*, void* argument) {
      ForwardBytes(*static_cast<Pair*>(argument));
    };
    const auto event = [](bufferevent* end, int16_t what, void* argument) {
      auto* pair_of = static_cast<Pair*>(argument);
      if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        bufferevent* other =
            end == pair_of->client ? pair_of->server : pair_of->client;
        const bool stalled = end == pair_of->client ? pair_of->stall_forward
                                                    : pair_of->stall_backward;
        if (!stalled) {
          shutdown(bufferevent_getfd(other), SHUT_RDWR);
        }
      }
    };
    for (bufferevent* end : {pair.client, pair.server}) {
      bufferevent_setcb(end, readable, nullptr, event, &pair);
      bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    const net::SocketAddress address = net::ToSocketAddress(target_);
    bufferevent_socket_connect(pair.server, address.get(),
                               static_cast<int>(address.length));
  }

  static void ForwardBytes(Pair& pair) {
    if (!pair.stall_forward) {
      evbuffer_add_buffer(bufferevent_get_output(pair.server),
                          bufferevent_get_input(pair.client));
    }
    if (!pair.stall_backward) {
      evbuffer_add_buffer(bufferevent_get_output(pair.client),
                          bufferevent_get_input(pair.server));
    }
  }

  net::EventLoop& loop_;
  world::Endpoint target_;
  std::list<std::unique_ptr<Pair>> pairs_;
  net::Listener listener_;
};

}  // namespace ibisvalve::dataplane

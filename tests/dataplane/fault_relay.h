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
  enum class Way { kForward, kBack, kBoth };

  explicit FaultRelay(net::EventLoop& loop)
      : loop_(loop),
        listener_(loop, {"127.0.0.1", 0}, [this](int fd) { Accept(fd); }) {}
  ~FaultRelay() {
    for (const auto& pair : pairs_) {
      bufferevent_free(pair->front);
      bufferevent_free(pair->back);
    }
  }

  world::Endpoint local() const { return listener_.local(); }
  void SetTarget(const world::Endpoint& target) { target_ = target; }
  /// Stalls the open connections. New connections are not affected.
  void Hold(Way way) {
    for (const auto& pair : pairs_) {
      pair->hold_forward |= way != Way::kBack;
      pair->hold_back |= way != Way::kForward;
    }
  }
  /// Resumes the stalled connections and forwards the bytes held back.
  void Release() {
    for (const auto& pair : pairs_) {
      pair->hold_forward = pair->hold_back = false;
      Move(*pair);
    }
  }
  /// Resets the open connections.
  void Reset() {
    for (const auto& pair : pairs_) {
      const linger hard{1, 0};
      for (bufferevent* end : {pair->front, pair->back}) {
        setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &hard,
                   sizeof(hard));
        bufferevent_free(end);
      }
    }
    pairs_.clear();
  }
  size_t connections() const { return pairs_.size(); }

 private:
  struct Pair {
    bufferevent* front;
    bufferevent* back;
    bool hold_forward = false;
    bool hold_back = false;
  };

  void Accept(int fd) {
    auto& pair = *pairs_.emplace_back(std::make_unique<Pair>(
        Pair{bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE),
             bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE)}));
    const auto readable = [](bufferevent*, void* argument) {
      Move(*static_cast<Pair*>(argument));
    };
    const auto event = [](bufferevent* end, int16_t what, void* argument) {
      auto* pair_of = static_cast<Pair*>(argument);
      if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        bufferevent* other =
            end == pair_of->front ? pair_of->back : pair_of->front;
        const bool held =
            end == pair_of->front ? pair_of->hold_forward : pair_of->hold_back;
        if (!held) {
          shutdown(bufferevent_getfd(other), SHUT_RDWR);
        }
      }
    };
    for (bufferevent* end : {pair.front, pair.back}) {
      bufferevent_setcb(end, readable, nullptr, event, &pair);
      bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    const net::SocketAddress address = net::ToSocketAddress(target_);
    bufferevent_socket_connect(pair.back, address.get(),
                               static_cast<int>(address.length));
  }

  static void Move(Pair& pair) {
    if (!pair.hold_forward) {
      evbuffer_add_buffer(bufferevent_get_output(pair.back),
                          bufferevent_get_input(pair.front));
    }
    if (!pair.hold_back) {
      evbuffer_add_buffer(bufferevent_get_output(pair.front),
                          bufferevent_get_input(pair.back));
    }
  }

  net::EventLoop& loop_;
  world::Endpoint target_;
  std::list<std::unique_ptr<Pair>> pairs_;
  net::Listener listener_;
};

}  // namespace ibisvalve::dataplane

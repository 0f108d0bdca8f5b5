#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <list>
#include <memory>

#include "net/net.h"

namespace ibisvalve {

/// TCP proxy to one endpoint whose bytes towards its clients share a link of a
/// limited rate, like the link of a host.
class SlowRelay {
 public:
  SlowRelay(net::EventLoop& loop,
            const world::Endpoint& target,
            size_t bytes_per_second)
      : loop_(loop),
        target_(target),
        bytes_per_tick_(bytes_per_second / kTicksPerSecond),
        tick_(loop, [this] { Tick(); }),
        listener_(loop, {"127.0.0.1", 0}, [this](int fd) { Accept(fd); }) {
    tick_.StartPeriodic(Duration(std::chrono::seconds(1)) / kTicksPerSecond);
  }
  ~SlowRelay() {
    for (const auto& pair : pairs_) {
      Close(*pair);
    }
  }
  SlowRelay(const SlowRelay&) = delete;
  SlowRelay& operator=(const SlowRelay&) = delete;

  world::Endpoint local() const { return listener_.local(); }
  /// Returns the number of bytes sent to clients.
  size_t bytes() const { return bytes_; }

 private:
  static constexpr int kTicksPerSecond = 100;
  // The rest waits at the sender, as behind a small receive window.
  static constexpr size_t kWindowBytes = 64 << 10;

  struct Pair {
    bufferevent* client;
    bufferevent* server;
    bool closed = false;
  };

  void Accept(int fd) {
    Pair& pair = *pairs_.emplace_back(std::make_unique<Pair>(
        Pair{bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE),
             bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE)}));
    const auto readable = [](bufferevent* end, void* argument) {
      auto* of = static_cast<Pair*>(argument);
      if (end == of->client) {
        evbuffer_add_buffer(bufferevent_get_output(of->server),
                            bufferevent_get_input(of->client));
      }
    };
    const auto event = [](bufferevent*, int16_t what, void* argument) {
      auto* of = static_cast<Pair*>(argument);
      of->closed |= (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    };
    for (bufferevent* end : {pair.client, pair.server}) {
      bufferevent_setcb(end, readable, nullptr, event, &pair);
      bufferevent_setwatermark(end, EV_READ, 0, kWindowBytes);
      bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    const net::SocketAddress address = net::ToSocketAddress(target_);
    bufferevent_socket_connect(pair.server, address.get(),
                               static_cast<int>(address.length));
  }

  // Forwards the bytes of one tick, shared by all connections.
  void Tick() {
    pairs_.remove_if([](const auto& pair) {
      if (pair->closed) {
        Close(*pair);
      }
      return pair->closed;
    });
    size_t left = bytes_per_tick_;
    for (const auto& pair : pairs_) {
      evbuffer* input = bufferevent_get_input(pair->server);
      const int moved = evbuffer_remove_buffer(
          input, bufferevent_get_output(pair->client), left);
      const size_t forwarded = moved > 0 ? static_cast<size_t>(moved) : 0;
      left -= forwarded;
      bytes_ += forwarded;
    }
  }

  static void Close(Pair& pair) {
    bufferevent_free(pair.client);
    bufferevent_free(pair.server);
  }

  net::EventLoop& loop_;
  world::Endpoint target_;
  size_t bytes_per_tick_;
  size_t bytes_ = 0;
  std::list<std::unique_ptr<Pair>> pairs_;
  net::Timer tick_;
  net::Listener listener_;
};

}  // namespace ibisvalve

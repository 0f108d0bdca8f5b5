#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "net/net.h"

namespace ibisvalve::dataplane {

/// TCP server that calls a function with the number of each request on its
/// connection, counted from 1. The function may write any bytes on the
/// connection, also later.
class ScriptedTarget {
 public:
  using Write = std::function<void(const std::string& bytes)>;
  using Script = std::function<void(size_t number, const Write& write)>;

  ScriptedTarget(net::EventLoop& loop, Script script)
      : loop_(loop),
        script_(std::move(script)),
        listener_(loop, {"127.0.0.1", 0}, [this](int fd) { Accept(fd); }) {}
  ~ScriptedTarget() {
    *alive_ = false;
    for (const auto& connection : connections_) {
      bufferevent_free(connection->end);
    }
  }
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  world::Endpoint local() const { return listener_.local(); }

 private:
  struct Connection {
    ScriptedTarget* target;
    bufferevent* end;
    size_t requests = 0;
  };

  void Accept(int fd) {
    auto& connection = *connections_.emplace_back(std::make_unique<Connection>(
        Connection{this, bufferevent_socket_new(loop_.base(), fd,
                                                BEV_OPT_CLOSE_ON_FREE)}));
    bufferevent_setcb(
        connection.end,
        [](bufferevent*, void* argument) {
          auto* readable = static_cast<Connection*>(argument);
          readable->target->OnReadable(*readable);
        },
        nullptr, nullptr, &connection);
    bufferevent_enable(connection.end, EV_READ | EV_WRITE);
  }

  void OnReadable(Connection& connection) {
    bufferevent* end = connection.end;
    evbuffer* input = bufferevent_get_input(end);
    if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
      return;
    }
    evbuffer_drain(input, evbuffer_get_length(input));
    script_(++connection.requests,
            [end, alive = alive_](const std::string& bytes) {
              if (*alive) {
                bufferevent_write(end, bytes.data(), bytes.size());
              }
            });
  }

  net::EventLoop& loop_;
  Script script_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Listener listener_;
};

}  // namespace ibisvalve::dataplane

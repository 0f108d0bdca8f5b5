#include "dataplane/caller_server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace ibisvalve::dataplane {

CallerServer::CallerServer(net::EventLoop& loop,
                           const world::Endpoint& local,
                           uint32_t max_connections,
                           MemoryBudget& memory,
                           Handlers handlers)
    : loop_(loop),
      max_connections_(max_connections),
      memory_(memory),
      handlers_(std::move(handlers)) {
  listener_.emplace(loop, local, [this](int fd) { Accept(fd); });
  local_ = listener_->local();
}

CallerServer::~CallerServer() = default;

void CallerServer::DisableKeepAlive() {
  keep_alive_disabled_ = true;
  for (const auto& [number, connection] : connections_) {
    connection->DisableKeepAlive();
  }
}

void CallerServer::StopListening() {
  listener_.reset();
  for (const auto& [number, connection] : connections_) {
    connection->CloseIfIdle();
  }
}

bool CallerServer::busy() const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [](const auto& connection) { return connection.second->busy(); });
}

void CallerServer::Accept(int fd) {
  if (connections_.size() >= max_connections_) {
    close(fd);
    return;
  }
  const uint64_t number = ++next_number_;
  auto connection = std::make_unique<CallerConnection>(
      loop_, fd, limits_, memory_,
      CallerConnection::Handlers{
          handlers_.on_request, handlers_.on_bad_request,
          [this, number] { connections_.erase(number); }});
  if (keep_alive_disabled_) {
    connection->DisableKeepAlive();
  }
  connections_.emplace(number, std::move(connection));
}

}  // namespace ibisvalve::dataplane

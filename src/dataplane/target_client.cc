#include "dataplane/target_client.h"

#include <utility>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

constexpr size_t kMaxIdleConnections = 32;
// Shorter than the idle timeouts of common HTTP servers.
constexpr Duration kIdleTimeout = std::chrono::seconds(5);
// A target may drop an idle connection without closing it, so a request that
// must not be sent twice reuses only a connection that was in use this
// recently.
constexpr Duration kRecentlyUsedInterval = std::chrono::milliseconds(250);

}  // namespace

struct TargetCall::State {
  TargetClient* client = nullptr;
  std::shared_ptr<TargetConnection> connection;
  Time connection_opened_at{};
  uint64_t epoch = 0;
  Handlers handlers;
  bool finished = false;  // also if cancelled
};

TargetCall::TargetCall(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

TargetCall::~TargetCall() {
  if (!state_->finished) {
    state_->finished = true;
    state_->client->Finish(state_, false);
  }
}

void TargetCall::SetReading(bool reading) {
  if (!state_->finished) {
    state_->connection->SetReading(reading);
  }
}

Time TargetCall::connection_opened_at() const {
  return state_->connection_opened_at;
}

TargetClient::TargetClient(net::EventLoop& loop,
                           const world::Endpoint& target,
                           const std::string& id_header)
    : loop_(loop),
      target_(target),
      id_header_(id_header),
      idle_timer_(loop, [this] { CloseExpired(); }) {}

TargetClient::~TargetClient() {
  *alive_ = false;
}

std::unique_ptr<TargetCall> TargetClient::Call(const TargetRequest& request,
                                               TargetCall::Handlers handlers,
                                               Reuse reuse) {
  auto state = std::make_shared<TargetCall::State>();
  state->client = this;
  state->connection = TakeConnection(request, reuse);
  state->connection_opened_at = state->connection->opened_at();
  state->epoch = epoch_;
  state->handlers = std::move(handlers);
  ++in_use_;
  const std::weak_ptr<TargetCall::State> weak = state;
  TargetConnection* raw = state->connection.get();
  TargetConnection::Handlers events;
  events.on_head = [weak](const TargetHead& head) {
    const auto live = weak.lock();
    if (live && !live->finished) {
      live->handlers.on_head(head);
    }
  };
  events.on_data = [weak](std::string bytes) {
    const auto live = weak.lock();
    if (live && !live->finished) {
      live->handlers.on_data(std::move(bytes));
    }
  };
  events.on_end = [weak](bool reusable) {
    const auto live = weak.lock();
    if (live && !std::exchange(live->finished, true)) {
      live->client->Finish(live, reusable);
      live->handlers.on_end();
    }
  };
  events.on_fault = [weak](TargetFault fault, const std::string& why) {
    const auto live = weak.lock();
    if (live && !std::exchange(live->finished, true)) {
      live->client->Finish(live, false);
      live->handlers.on_fault(fault, why);
    }
  };
  events.on_idle_closed = [this, alive = alive_, raw] {
    if (*alive) {
      RemoveIdle(raw);
    }
  };
  raw->StartCall(request, std::move(events));
  return std::make_unique<TargetCall>(state);
}

void TargetClient::CloseIdleConnections() {
  ++epoch_;
  for (Connection& connection : std::exchange(idle_, {})) {
    CloseLater(std::move(connection));
  }
}

TargetClient::Connection TargetClient::TakeConnection(
    const TargetRequest& request,
    Reuse reuse) {
  const std::string* id =
      id_header_.empty() ? nullptr : FindHeader(request.headers, id_header_);
  const bool usable =
      !idle_.empty() && (id == nullptr || !idle_.back()->HasFailed(*id)) &&
      (reuse == Reuse::kAny ||
       loop_.Now() - idle_.back()->idle_since() <= kRecentlyUsedInterval);
  if (usable) {
    Connection connection = std::move(idle_.back());
    idle_.pop_back();
    connection->SetReading(true);
    return connection;
  }
  ++opened_;
  return std::make_shared<TargetConnection>(loop_, target_, id_header_);
}

void TargetClient::Finish(const std::shared_ptr<TargetCall::State>& state,
                          bool reusable) {
  --in_use_;
  Connection connection = std::move(state->connection);
  if (reusable && idle_.size() < kMaxIdleConnections &&
      state->epoch == epoch_) {
    connection->SetReading(true);
    idle_.push_back(std::move(connection));
    if (!idle_timer_.running()) {
      idle_timer_.StartOnce(kIdleTimeout);
    }
    return;
  }
  CloseLater(std::move(connection));
}

void TargetClient::RemoveIdle(const TargetConnection* connection) {
  for (auto idle = idle_.begin(); idle != idle_.end(); ++idle) {
    if (idle->get() == connection) {
      Connection closing = std::move(*idle);
      idle_.erase(idle);
      CloseLater(std::move(closing));
      return;
    }
  }
}

// Closes `connection` in a later iteration of the event loop, because one of
// its callbacks may be running.
void TargetClient::CloseLater(Connection connection) {
  loop_.Post([closing = std::move(connection)] {});
}

void TargetClient::CloseExpired() {
  const Time now = loop_.Now();
  while (!idle_.empty() && now - idle_.front()->idle_since() >= kIdleTimeout) {
    CloseLater(std::move(idle_.front()));
    idle_.erase(idle_.begin());
  }
  if (!idle_.empty()) {
    idle_timer_.StartOnce(idle_.front()->idle_since() + kIdleTimeout -
                          loop_.Now());
  }
}

}  // namespace ibisvalve::dataplane

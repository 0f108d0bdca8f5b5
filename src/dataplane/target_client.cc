#include "dataplane/target_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glog/logging.h>

#include <utility>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

constexpr size_t kMaxIdle = 32;
constexpr Duration kIdleLimit = std::chrono::seconds(3);
constexpr int kConnectionTimeoutSeconds = 3600;  // deadlines are the gate's
constexpr ev_ssize_t kMaxAnswerHeaderBytes = 64 << 10;

evhttp_cmd_type CommandFor(const std::string& method) {
  if (method == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (method == "HEAD") {
    return EVHTTP_REQ_HEAD;
  }
  if (method == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (method == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  if (method == "OPTIONS") {
    return EVHTTP_REQ_OPTIONS;
  }
  return method == "PATCH" ? EVHTTP_REQ_PATCH : EVHTTP_REQ_GET;
}

bool HasNoBody(const std::string& method, int status) {
  return method == "HEAD" || status == 204 || status == 304;
}

}  // namespace

struct TargetCall::State : std::enable_shared_from_this<TargetCall::State> {
  TargetClient* client = nullptr;
  evhttp_connection* connection = nullptr;
  std::string method;
  Handlers handlers;
  bool head_seen = false;
  bool bounded = false;  // the end of the answer can be told
  bool over = false;     // cancelled, or evhttp has called OnDone
  bool reading = true;

  int OnHead(evhttp_request* request);
  void OnData(evhttp_request* request);
  void OnDone(evhttp_request* request);
  void ApplyReading();
};

// Returns -1, which breaks the connection, where the end of the answer could
// not be told from a connection that broke.
int TargetCall::State::OnHead(evhttp_request* request) {
  if (over) {
    return -1;
  }
  TargetHead head;
  head.status =
      static_cast<uint16_t>(evhttp_request_get_response_code(request));
  if (head.status < 200) {
    return 0;
  }
  head.headers = AllHeaders(evhttp_request_get_input_headers(request));
  const std::string* length = FindHeader(head.headers, "Content-Length");
  const std::string* coding = FindHeader(head.headers, "Transfer-Encoding");
  if (coding != nullptr) {
    bounded = SameName(*coding, "chunked");
  } else if (length != nullptr) {
    head.length = ParseNumber(*length);
    bounded = head.length.has_value();
  }
  if (HasNoBody(method, head.status)) {
    bounded = true;
  }
  if (!bounded) {
    return -1;
  }
  head_seen = true;
  handlers.on_head(head);
  return 0;
}

void TargetCall::State::OnData(evhttp_request* request) {
  if (over) {
    return;
  }
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  handlers.on_data(std::move(bytes));
}

void TargetCall::State::OnDone(evhttp_request* request) {
  const std::shared_ptr<State> self = shared_from_this();
  if (over) {
    return;
  }
  over = true;
  // A request with an answer's code of 0 failed before it was sent.
  const bool never_sent =
      request != nullptr && evhttp_request_get_response_code(request) == 0;
  const bool whole = request != nullptr && !never_sent && head_seen;
  client->Finish(self, whole);
  if (whole) {
    handlers.on_end();
  } else {
    handlers.on_fault(never_sent ? TargetFault::kNotReached
                                 : TargetFault::kBroke);
  }
}

void TargetCall::State::ApplyReading() {
  if (over) {
    return;
  }
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  if (reading) {
    bufferevent_enable(bev, EV_READ);
  } else {
    bufferevent_disable(bev, EV_READ);
  }
}

TargetCall::TargetCall(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

TargetCall::~TargetCall() {
  if (!state_->over) {
    state_->over = true;
    state_->client->Finish(state_, false);
  }
}

void TargetCall::SetReading(bool reading) {
  if (state_->reading == reading || state_->over) {
    return;
  }
  state_->reading = reading;
  // Not from here: evhttp enables reading again after each part it hands out.
  state_->client->loop_.Post([state = state_] { state->ApplyReading(); });
}

TargetClient::TargetClient(net::EventLoop& loop, const world::Endpoint& target)
    : loop_(loop), target_(target), idle_timer_(loop, [this] { CloseIdle(); }) {
  idle_timer_.StartPeriodic(std::chrono::seconds(1));
}

TargetClient::~TargetClient() {
  *alive_ = false;
  for (const auto& state : active_) {
    state->over = true;
    evhttp_connection_free(state->connection);
  }
  for (const Idle& idle : idle_) {
    evhttp_connection_free(idle.connection);
  }
}

std::unique_ptr<TargetCall> TargetClient::Call(const TargetRequest& request,
                                               TargetCall::Handlers handlers) {
  auto state = std::make_shared<TargetCall::State>();
  state->client = this;
  state->connection = TakeConnection();
  state->method = request.method;
  state->handlers = std::move(handlers);
  active_.insert(state);
  evhttp_request* call = evhttp_request_new(
      [](evhttp_request* answer, void* argument) {
        static_cast<TargetCall::State*>(argument)->OnDone(answer);
      },
      state.get());
  evhttp_request_set_header_cb(
      call, [](evhttp_request* answer, void* argument) {
        return static_cast<TargetCall::State*>(argument)->OnHead(answer);
      });
  evhttp_request_set_chunked_cb(
      call, [](evhttp_request* answer, void* argument) {
        static_cast<TargetCall::State*>(argument)->OnData(answer);
      });
  evkeyvalq* headers = evhttp_request_get_output_headers(call);
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!request.body.empty()) {
    evhttp_add_header(headers, "Content-Length",
                      std::to_string(request.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(call), request.body.data(),
                 request.body.size());
  }
  if (evhttp_make_request(state->connection, call, CommandFor(request.method),
                          request.uri.c_str()) != 0) {
    loop_.Post([state] {
      if (!state->over) {
        state->over = true;
        state->client->Finish(state, false);
        state->handlers.on_fault(TargetFault::kNotReached);
      }
    });
  }
  return std::make_unique<TargetCall>(state);
}

evhttp_connection* TargetClient::TakeConnection() {
  if (!idle_.empty()) {
    evhttp_connection* connection = idle_.back().connection;
    idle_.pop_back();
    return connection;
  }
  evhttp_connection* connection = evhttp_connection_base_new(
      loop_.base(), nullptr, target_.ip.c_str(), target_.port);
  CHECK_NOTNULL(connection);
  evhttp_connection_set_timeout(connection, kConnectionTimeoutSeconds);
  evhttp_connection_set_max_headers_size(connection, kMaxAnswerHeaderBytes);
  return connection;
}

void TargetClient::Finish(const std::shared_ptr<TargetCall::State>& state,
                          bool reusable) {
  if (reusable && idle_.size() < kMaxIdle) {
    active_.erase(state);
    idle_.push_back(Idle{state->connection, loop_.Now()});
    return;
  }
  // The connection may not be freed from inside its own callback; until then
  // evhttp may still name the state.
  loop_.Post([this, state, alive = alive_] {
    if (*alive) {
      evhttp_connection_free(state->connection);
      active_.erase(state);
    }
  });
}

void TargetClient::CloseIdle() {
  const Time now = loop_.Now();
  while (!idle_.empty() && now - idle_.front().since > kIdleLimit) {
    evhttp_connection_free(idle_.front().connection);
    idle_.erase(idle_.begin());
  }
}

}  // namespace ibisvalve::dataplane

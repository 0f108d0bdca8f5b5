#include "bench/target/target_server.h"

#include <event2/http.h>
#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "bench/target/http_text.h"

namespace ibisvalve::bench {
namespace {

constexpr ev_ssize_t kMaxBodyBytes = 256 << 20;
constexpr ev_ssize_t kMaxHeaderBytes = 64 << 10;
constexpr Duration kAnnounceRetry = std::chrono::milliseconds(200);
constexpr Duration kAnnounceTimeout = std::chrono::seconds(2);
// Delay after the last run, so that its response is sent before the process
// exits.
constexpr Duration kResponseFlushDelay = std::chrono::milliseconds(100);
constexpr int kCrashStatus = 3;
constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                            EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

}  // namespace

TargetServer::TargetServer(net::EventLoop& loop, const TargetSettings& settings)
    : loop_(loop),
      settings_(settings),
      model_(settings.service, settings.seed, loop.Now()),
      log_(settings.run_log),
      http_(evhttp_new(loop.base())),
      announce_timer_(loop, [this] { Announce(); }),
      response_flush_timer_(loop, [this] { on_idle_(); }) {
  CHECK_GT(settings_.slots, 0u);
  evhttp_set_max_headers_size(http_, kMaxHeaderBytes);
  evhttp_set_max_body_size(http_, kMaxBodyBytes);
  evhttp_set_allowed_methods(http_, kAllMethods);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* argument) {
        static_cast<TargetServer*>(argument)->Dispatch(request);
      },
      this);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(
      http_, settings_.listen.ip.c_str(), settings_.listen.port);
  if (socket == nullptr) {
    const int error = errno;
    evhttp_free(http_);
    throw SystemError("cannot listen at " + world::ToString(settings_.listen),
                      error);
  }
  local_ = net::LocalEndpoint(evhttp_bound_socket_get_fd(socket));
  SetState("ready");
}

TargetServer::~TargetServer() {
  runs_.clear();
  evhttp_free(http_);
}

void TargetServer::Stop(std::function<void()> done) {
  on_idle_ = std::move(done);
  SetState("draining");
  StopWhenIdle();
}

void TargetServer::StopWhenIdle() {
  if (runs_.empty() && on_idle_) {
    response_flush_timer_.StartOnce(kResponseFlushDelay);
  }
}

void TargetServer::Dispatch(evhttp_request* request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path_text = evhttp_uri_get_path(uri);
  const std::string path = path_text == nullptr ? "/" : path_text;
  if (path == "/health") {
    ReplyHealth(request);
  } else if (path == "/control") {
    Control(request);
  } else {
    Enqueue(request);
  }
}

void TargetServer::ReplyHealth(evhttp_request* request) {
  const nlohmann::json report = {{"state", state_},
                                 {"name", settings_.name},
                                 {"slots", settings_.slots},
                                 {"in_flight", in_flight_},
                                 {"queued", waiting_.size()}};
  ReplyText(request, HTTP_OK, "application/json", report.dump());
}

void TargetServer::Control(evhttp_request* request) {
  const char* query_text =
      evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  const std::string query = query_text == nullptr ? "" : query_text;
  const std::string mode = QueryValue(query, "mode");
  const std::string straggler_prefix = "straggler=";
  if (mode == "drain") {
    SetState("draining");
  } else if (mode == "ready") {
    SetState("ready");
  } else if (mode == "fail") {
    settings_.fail_fast = true;
  } else if (mode == "normal") {
    settings_.fail_fast = false;
    model_.SetStraggler(1);
  } else if (mode.starts_with(straggler_prefix)) {
    model_.SetStraggler(std::strtod(mode.c_str() + straggler_prefix.size(),
                                    /*endptr=*/nullptr));
  } else {
    ReplyText(request, HTTP_BADREQUEST, "text/plain",
              "mode must be drain, ready, fail, normal or straggler=K\n");
    return;
  }
  ReplyText(request, HTTP_OK, "text/plain", "mode " + mode + "\n");
}

void TargetServer::Enqueue(evhttp_request* request) {
  auto run = std::make_unique<Run>(
      loop_, request, [this](Run* ended, const std::string& status) {
        OnRunEnded(ended, status);
      });
  waiting_.push_back(run.get());
  runs_.emplace(run.get(), std::move(run));
  StartQueuedRuns();
}

void TargetServer::StartQueuedRuns() {
  while (!waiting_.empty() && in_flight_ < settings_.slots) {
    Run* run = waiting_.front();
    waiting_.pop_front();
    ++in_flight_;
    const RequestFields& fields = run->fields();
    log_.Start(fields.run, fields.key, fields.method, fields.path);
    if (!settings_.crash_on.empty() && fields.path == settings_.crash_on) {
      _exit(kCrashStatus);
    }
    if (settings_.fail_fast) {
      run->Refuse();
    } else {
      run->Start(model_.DrawServiceTime(loop_.Now()), settings_.name);
    }
  }
}

void TargetServer::OnRunEnded(Run* run, const std::string& status) {
  if (run->started()) {
    --in_flight_;
    log_.End(run->fields().run, run->fields().key, status);
  } else {
    std::erase(waiting_, run);
  }
  runs_.erase(run);
  StopWhenIdle();
  // Deferred, because a refused run ends while StartQueuedRuns is starting it.
  loop_.Post([this] { StartQueuedRuns(); });
}

void TargetServer::SetState(const std::string& state) {
  state_ = state;
  ++announcement_;
  Announce();
}

void TargetServer::Announce() {
  if (!settings_.announce) {
    return;
  }
  const nlohmann::json announcement = {{"state", state_},
                                       {"slots", settings_.slots}};
  const uint64_t number = announcement_;
  net::FetchHttp(loop_, *settings_.announce, "POST", "/announce",
                 announcement.dump(), kAnnounceTimeout,
                 [this, number](const net::HttpResult& result) {
                   constexpr int kFirstError = 300;
                   const bool taken =
                       result.status >= HTTP_OK && result.status < kFirstError;
                   if (!taken && number == announcement_) {
                     announce_timer_.StartOnce(kAnnounceRetry);
                   }
                 });
}

}  // namespace ibisvalve::bench

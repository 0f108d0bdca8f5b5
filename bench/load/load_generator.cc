#include "bench/load/load_generator.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace ibisvalve::bench {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Wait after the last deadline for late responses.
constexpr Duration kLateLimit = std::chrono::seconds(3);

std::string FindResponseHeader(evhttp_request* request, const char* name) {
  const char* value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

std::string ResponseBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

}  // namespace

struct LoadGenerator::Call {
  LoadGenerator* owner = nullptr;
  size_t endpoint = 0;
  Time scheduled_time{};
  std::string name;
  std::string service;
  std::string path;
  bool booking = false;
  evhttp_connection* connection = nullptr;
};

LoadGenerator::LoadGenerator(net::EventLoop& loop,
                             const LoadSettings& settings,
                             std::function<void(const LoadReport&)> done)
    : loop_(loop),
      settings_(settings),
      done_(std::move(done)),
      random_(settings.seed),
      waiting_(settings.endpoints.size()),
      send_timer_(loop, [this] { SendDue(); }),
      waiting_timer_(loop, [this] { SendQueued(); }),
      end_timer_(loop, [this] { Finish(); }),
      start_(loop.Now()),
      next_(start_) {
  CHECK(!settings_.endpoints.empty());
  CHECK(!settings_.mix.empty());
  CHECK_GT(settings_.rate, 0);
  for (const world::Endpoint& endpoint : settings_.endpoints) {
    pools_.push_back(
        std::make_unique<ConnectionPool>(loop_, endpoint, settings_.connections,
                                         settings_.deadline + kLateLimit));
  }
  report_.deadline = settings_.deadline;
  report_.seconds =
      static_cast<double>(settings_.duration.count()) / kMicrosPerSecond;
  ScheduleNext();
}

LoadGenerator::~LoadGenerator() {
  // Destroys the connections before the calls that their callbacks refer to.
  pools_.clear();
}

void LoadGenerator::ScheduleNext() {
  const double gap =
      std::exponential_distribution<double>(settings_.rate)(random_);
  next_ += Duration(static_cast<int64_t>(gap * kMicrosPerSecond));
  if (next_ - start_ >= settings_.duration ||
      report_.scheduled >= settings_.max_requests) {
    scheduled_all_ = true;
    end_timer_.StartOnce(settings_.deadline + 2 * kLateLimit);
    return;
  }
  send_timer_.StartOnce(next_ - loop_.Now());
}

void LoadGenerator::SendDue() {
  while (!scheduled_all_ && next_ <= loop_.Now()) {
    auto call = std::make_unique<Call>();
    const uint64_t number = report_.scheduled++;
    const RequestMix& mix = DrawMix();
    call->owner = this;
    call->endpoint = number % settings_.endpoints.size();
    call->scheduled_time = next_;
    call->name = settings_.name + "-" + std::to_string(settings_.seed) + "-" +
                 std::to_string(number);
    call->service = mix.service;
    call->booking = std::uniform_real_distribution<double>(0, 1)(random_) <
                    mix.booking_share;
    call->path = (call->booking ? "/bookings/" : "/rooms/") + call->name;
    Send(std::move(call));
    ScheduleNext();
  }
  if (!scheduled_all_) {
    send_timer_.StartOnce(next_ - loop_.Now());
  }
}

const RequestMix& LoadGenerator::DrawMix() {
  double total = 0;
  for (const RequestMix& mix : settings_.mix) {
    total += mix.weight;
  }
  double left = std::uniform_real_distribution<double>(0, total)(random_);
  for (const RequestMix& mix : settings_.mix) {
    left -= mix.weight;
    if (left < 0) {
      return mix;
    }
  }
  return settings_.mix.back();
}

void LoadGenerator::Send(std::unique_ptr<Call> call) {
  ConnectionPool& pool = *pools_[call->endpoint];
  call->connection = pool.Acquire();
  if (call->connection == nullptr) {
    waiting_[call->endpoint].push_back(std::move(call));
    return;
  }
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* answered, void* argument) {
        auto* ended = static_cast<Call*>(argument);
        ended->owner->OnResponse(ended, answered);
      },
      call.get());
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  const auto add = [&](const char* name, const std::string& value) {
    evhttp_add_header(headers, name, value.c_str());
  };
  add("Host", world::ToString(pool.endpoint()));
  add("X-Request-Name", call->name);
  add("Ibis-Deadline-Ms", std::to_string(settings_.deadline.count() / 1000));
  if (!call->service.empty()) {
    add("Ibis-Service", call->service);
  }
  if (call->booking) {
    add("Idempotency-Key", call->name);
    add("Content-Type", "application/json");
    const std::string body = nlohmann::json{{"booking", call->name}}.dump();
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
                 body.size());
  }
  Call* sent = call.get();
  in_flight_.emplace(sent, std::move(call));
  // The result is ignored, because on failure evhttp calls the request
  // callback, either during this call or later.
  evhttp_make_request(sent->connection, request,
                      sent->booking ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                      sent->path.c_str());
}

void LoadGenerator::SendQueued() {
  for (size_t endpoint = 0; endpoint < waiting_.size(); ++endpoint) {
    auto& queue = waiting_[endpoint];
    while (!queue.empty() && pools_[endpoint]->HasFree()) {
      std::unique_ptr<Call> call = std::move(queue.front());
      queue.pop_front();
      Send(std::move(call));
    }
  }
}

void LoadGenerator::OnResponse(Call* call, evhttp_request* request) {
  const auto found = in_flight_.find(call);
  CHECK(found != in_flight_.end());
  const std::unique_ptr<Call> ended = std::move(found->second);
  in_flight_.erase(found);
  const bool whole =
      request != nullptr && evhttp_request_get_response_code(request) != 0;
  if (whole) {
    ClassifyResponse(*ended, request);
  } else {
    ++report_.broken;
  }
  pools_[ended->endpoint]->Release(ended->connection, whole);
  // Deferred, because the connection of this callback may be reused.
  waiting_timer_.StartOnce(Duration(0));
  if (scheduled_all_ && in_flight_.empty() &&
      std::all_of(waiting_.begin(), waiting_.end(),
                  [](const auto& queue) { return queue.empty(); })) {
    end_timer_.StartOnce(Duration(0));
  }
}

bool LoadGenerator::MatchesRequest(const Call& call,
                                   evhttp_request* request) const {
  const auto body = nlohmann::json::parse(ResponseBody(request), nullptr,
                                          /*allow_exceptions=*/false);
  return body.is_object() && body.value("name", "") == call.name &&
         body.value("path", "") == call.path;
}

void LoadGenerator::ClassifyResponse(const Call& call,
                                     evhttp_request* request) {
  const int status = evhttp_request_get_response_code(request);
  ++report_.statuses[status];
  const std::string attempts = FindResponseHeader(request, "Ibis-Attempts");
  report_.attempts += std::max<uint64_t>(
      1, std::strtoull(attempts.c_str(), nullptr, /*base=*/10));
  const std::string outcome = FindResponseHeader(request, "Ibis-Outcome");
  if (outcome == "not-run" || outcome == "unknown") {
    ++(outcome == "unknown" ? report_.unknown : report_.refused);
    ++report_.reasons[FindResponseHeader(request, "Ibis-Reason")];
    return;
  }
  if (status != HTTP_OK) {
    ++report_.failed;
    return;
  }
  if (!MatchesRequest(call, request)) {
    ++report_.swapped;
    return;
  }
  const Duration latency = loop_.Now() - call.scheduled_time;
  ++report_.answered;
  report_.in_time += latency <= settings_.deadline ? 1 : 0;
  report_.latency.Record(latency);
}

void LoadGenerator::Finish() {
  for (const auto& queue : waiting_) {
    report_.unfinished += queue.size();
  }
  report_.unfinished += in_flight_.size();
  for (const auto& pool : pools_) {
    report_.connections += pool->opened();
  }
  done_(report_);
}

}  // namespace ibisvalve::bench

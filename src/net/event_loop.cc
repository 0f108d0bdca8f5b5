#include "net/event_loop.h"

#include <event2/event.h>
#include <glog/logging.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace ibisvalve::net {
namespace {

timeval ToTimeval(Duration duration) {
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  const int64_t micros = duration.count();
  return timeval{static_cast<time_t>(micros / kMicrosPerSecond),
                 static_cast<suseconds_t>(micros % kMicrosPerSecond)};
}

}  // namespace

struct EventLoop::SignalHandler {
  std::function<void()> handler;
  event* signal_event = nullptr;

  ~SignalHandler() { event_free(signal_event); }
};

EventLoop::EventLoop() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  if (base_ == nullptr) {
    throw std::runtime_error(
        "libevent found no usable event notification backend");
  }
  // Writing to a connection that the peer closed must return EPIPE instead of
  // terminating the process.
  std::signal(SIGPIPE, SIG_IGN);  // NOLINT: single-threaded
  // A write beyond a limit on file sizes fails with an error.
  std::signal(SIGXFSZ, SIG_IGN);  // NOLINT: single-threaded
}

EventLoop::~EventLoop() {
  signals_.clear();
  event_base_free(base_);
}

void EventLoop::Run() {
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop() {
  event_base_loopbreak(base_);
}

void EventLoop::Poll() {
  event_base_loop(base_, EVLOOP_NONBLOCK);
}

void EventLoop::Post(std::function<void()> task) {
  auto owned = std::make_unique<std::function<void()>>(std::move(task));
  const timeval now{0, 0};
  const int result = event_base_once(
      base_, -1, EV_TIMEOUT,
      [](evutil_socket_t, int16_t, void* argument) {
        std::unique_ptr<std::function<void()>> call(
            static_cast<std::function<void()>*>(argument));
        (*call)();
      },
      owned.get(), &now);
  CHECK_EQ(result, 0) << "event_base_once failed";
  owned.release();  // NOLINT(bugprone-unused-return-value): the event owns it
}

void EventLoop::OnSignal(int number, std::function<void()> handler) {
  auto entry = std::make_unique<SignalHandler>();
  entry->handler = std::move(handler);
  entry->signal_event = evsignal_new(
      base_, number,
      [](evutil_socket_t, int16_t, void* argument) {
        static_cast<SignalHandler*>(argument)->handler();
      },
      entry.get());
  CHECK_EQ(event_add(entry->signal_event, nullptr), 0);
  signals_.push_back(std::move(entry));
}

Timer::Timer(EventLoop& loop, std::function<void()> action)
    : action_(std::move(action)),
      event_(event_new(
          loop.base(),
          -1,
          0,
          [](evutil_socket_t, int16_t, void* argument) {
            auto* timer = static_cast<Timer*>(argument);
            if (timer->interval_.count() > 0) {
              timer->Start(timer->interval_);
            }
            timer->action_();  // may destroy the timer
          },
          this)) {
  CHECK_NOTNULL(event_);
}

Timer::~Timer() {
  event_free(event_);
}

void Timer::StartOnce(Duration delay) {
  interval_ = Duration(0);
  Start(delay);
}

void Timer::StartPeriodic(Duration interval) {
  CHECK_GT(interval.count(), 0);
  interval_ = interval;
  Start(interval);
}

void Timer::Stop() {
  interval_ = Duration(0);
  event_del(event_);
}

bool Timer::running() const {
  return event_pending(event_, EV_TIMEOUT, nullptr) != 0;
}

void Timer::Start(Duration delay) {
  const timeval wait = ToTimeval(std::max(delay, Duration(0)));
  CHECK_EQ(event_add(event_, &wait), 0);
}

}  // namespace ibisvalve::net

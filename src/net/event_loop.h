#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/base.h"

struct event;
struct event_base;

namespace ibisvalve::net {

/// The event loop of a process. Runs on one thread, on which all callbacks of
/// this library are called. Satisfies Clock.
class EventLoop {
 public:
  /// Ignores SIGPIPE and SIGXFSZ in the whole process. Throws
  /// std::runtime_error if libevent cannot be initialized.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Processes events until Stop is called.
  void Run();
  /// Makes Run return once the current callback has returned.
  void Stop();
  /// Processes the events that are ready now, without blocking.
  void Poll();
  /// Schedules `task` to run on the loop after the current callback.
  void Post(std::function<void()> task);
  /// Registers `handler`, which runs on the loop on each signal `number`.
  void OnSignal(int number, std::function<void()> handler);
  /// Returns the current time.
  Time Now() const { return clock_.Now(); }
  /// Returns the libevent base, which this object owns.
  event_base* base() const { return base_; }

 private:
  struct SignalHandler;

  event_base* base_;
  SystemClock clock_;
  std::vector<std::unique_ptr<SignalHandler>> signals_;
};

/// A one-shot or periodic timer. Its destructor stops it.
class Timer {
 public:
  /// Creates a stopped timer. `loop` must outlive it.
  Timer(EventLoop& loop, std::function<void()> action);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Calls the action once after `delay`. Replaces any earlier schedule.
  void StartOnce(Duration delay);
  /// Calls the action every `interval`, which must be positive. Replaces any
  /// earlier schedule.
  void StartPeriodic(Duration interval);
  /// Cancels the pending call, if any.
  void Stop();
  /// Returns whether a call is scheduled.
  bool running() const;

 private:
  void Start(Duration delay);

  std::function<void()> action_;
  Duration interval_{0};  // 0: one-shot
  event* event_;
};

}  // namespace ibisvalve::net

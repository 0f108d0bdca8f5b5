#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/base.h"

struct event;
struct event_base;

namespace ibisvalve::net {

/// The one loop of a process, on one thread; every callback of this library
/// runs on it. Satisfies Clock.
class EventLoop {
 public:
  /// Throws std::runtime_error when libevent cannot start.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop.
  void Run();
  /// Makes Run return after the callback that is running.
  void Stop();
  /// Runs what is due now, then returns.
  void Poll();
  /// Calls `task` from the loop, after the callback that is running.
  void Post(std::function<void()> task);
  /// Calls `handler` from the loop on each signal `number`.
  void OnSignal(int number, std::function<void()> handler);
  /// Returns the present time.
  Time Now() const { return clock_.Now(); }
  /// Returns the libevent base, which the loop owns.
  event_base* base() const { return base_; }

 private:
  struct SignalHandler;

  event_base* base_;
  SystemClock clock_;
  std::vector<std::unique_ptr<SignalHandler>> signals_;
};

/// Calls a function once or again and again. Stops when destroyed.
class Timer {
 public:
  /// Makes a timer that is not running. `loop` must outlive it.
  Timer(EventLoop& loop, std::function<void()> action);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Calls the action once after `delay`, instead of whatever was set before.
  void StartOnce(Duration delay);
  /// Calls the action every `interval`, which must be positive.
  void StartPeriodic(Duration interval);
  /// Calls the action no more until it is started again.
  void Stop();
  /// Returns whether a call is due.
  bool running() const;

 private:
  void Start(Duration delay);

  std::function<void()> action_;
  Duration interval_{0};  // 0: once
  event* event_;
};

}  // namespace ibisvalve::net

#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "dataplane/caller_exchange.h"
#include "net/net.h"

struct bufferevent;
struct evbuffer;

namespace ibisvalve::dataplane {

/// Limits that apply to each connection of a caller.
struct CallerLimits {
  net::HttpLimits http;
  // For the whole head of a request, and for each gap between reads of its
  // body.
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);  // between requests

  auto operator<=>(const CallerLimits&) const = default;
};

/// One HTTP/1.1 connection of a caller, with pipelining: reads further requests
/// while earlier ones are being served and sends the responses in the order of
/// the requests. A half-close by the caller is treated as a disconnect.
class CallerConnection {
 public:
  struct Handlers {
    /// Called when a complete request has been received.
    std::function<void(std::shared_ptr<CallerExchange>)> on_request;
    /// Called when the received bytes are not a valid request, the request
    /// timed out, or there is no memory for its body (503). Must send the error
    /// response through `exchange`.
    std::function<void(CallerExchange& exchange, const net::HttpError& error)>
        on_bad_request;
    /// Called from the event loop after the connection has closed. Must destroy
    /// the connection.
    std::function<void()> on_closed;
  };

  /// Takes ownership of the socket `fd`. `limits` and `memory`, which bounds
  /// the bodies of requests while they are received and served, must outlive
  /// the connection.
  CallerConnection(net::EventLoop& loop,
                   int fd,
                   const CallerLimits& limits,
                   MemoryBudget& memory,
                   Handlers handlers);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Disables keep-alive: every response from now on closes the connection and
  /// says so in its headers.
  void DisableKeepAlive() { keep_alive_disabled_ = true; }
  /// Closes the connection if no request is being read or served.
  void CloseIfIdle();
  /// Returns whether a request is being received or served, or a response is
  /// not sent completely.
  bool busy() const;
  bool keep_alive_disabled() const { return keep_alive_disabled_; }
  /// Returns the number of requests being served.
  size_t active() const { return pipeline_.size(); }

 private:
  friend class CallerExchange;

  evbuffer* output();
  void Abort();
  void OnReadable();
  void OnWritable();
  void OnEvent(int16_t what);
  void OnTimeout();
  void ReadRequests();
  bool ProcessInput();
  void ReserveBody();
  void DispatchRequest();
  std::shared_ptr<CallerExchange> AddExchange(CallerRequest request,
                                              bool close,
                                              MemoryReservation memory = {});
  void RejectRequest(const net::HttpError& error);
  void SendContinue();
  void SendInOrder();
  void ShutDownOrRead();
  void StartTimer();
  void Close();

  net::EventLoop& loop_;
  const CallerLimits& limits_;
  Handlers handlers_;
  bufferevent* bufferevent_;
  net::HttpReader reader_;
  std::string body_;  // of the request being read
  MemoryBudget& memory_;
  MemoryReservation body_memory_;  // for body_
  std::deque<std::shared_ptr<ResponseSlot>> pipeline_;
  bool timing_request_ = false;  // timer_ bounds the request being read
  bool sending_ = false;         // SendInOrder is on the stack
  bool reading_ = false;         // ReadRequests is on the stack
  bool keep_alive_disabled_ = false;
  bool closing_ = false;    // close after the pending responses
  bool lingering_ = false;  // all sent; further input is discarded
  bool continue_handled_ = false;
  net::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane

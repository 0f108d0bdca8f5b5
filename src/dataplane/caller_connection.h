#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "dataplane/caller_exchange.h"
#include "net/net.h"

struct bufferevent;
struct evbuffer;

namespace ibisvalve::dataplane {

/// Bounds of the callers' connections.
struct CallerLimits {
  net::HttpLimits http;
  Duration header_timeout = std::chrono::seconds(10);  // for a whole request
  Duration idle_timeout = std::chrono::seconds(60);    // between requests

  auto operator<=>(const CallerLimits&) const = default;
};

/// One connection of a caller. Reads requests, also while earlier ones are
/// being served, and sends the answers in the order of the requests. A caller
/// that closes its sending side counts as gone.
class CallerConnection {
 public:
  struct Handlers {
    /// A whole request has come.
    std::function<void(std::shared_ptr<CallerExchange>)> on_request;
    /// Bytes came that are no request: answers them and returns nothing more.
    std::function<void(CallerExchange& exchange, const net::HttpError& error)>
        on_bad_request;
    /// The connection is closed; destroys it, from the loop.
    std::function<void()> on_closed;
  };

  /// Takes over the socket `fd`. `limits` must outlive the connection.
  CallerConnection(net::EventLoop& loop,
                   int fd,
                   const CallerLimits& limits,
                   Handlers handlers);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Says in every answer from now on that the connection closes after it.
  void Retire() { retiring_ = true; }
  /// Closes it if no request is being read or served.
  void CloseIfIdle();
  bool retiring() const { return retiring_; }
  /// Returns how many requests are being served.
  size_t active() const { return order_.size(); }

 private:
  friend class CallerExchange;

  evbuffer* output();
  void Abort();
  void OnReadable();
  void OnWritable();
  void OnEvent(int16_t what);
  void OnTimeout();
  void ReadRequests();
  bool ReadOne();
  void TakeRequest();
  std::shared_ptr<CallerExchange> AddExchange(CallerRequest request,
                                              bool close);
  void Refuse(const net::HttpError& error);
  void AskForBody();
  void SendInOrder();
  void Settle();
  void StartTimer();
  void Close();

  net::EventLoop& loop_;
  const CallerLimits& limits_;
  Handlers handlers_;
  bufferevent* bufferevent_;
  net::HttpReader reader_;
  std::string body_;  // of the request that is being read
  std::deque<std::shared_ptr<AnswerSlot>> order_;
  bool timing_head_ = false;  // the timer bounds the head that is being read
  bool sending_ = false;      // SendInOrder runs
  bool reading_ = false;      // ReadRequests runs
  bool retiring_ = false;
  bool closing_ = false;    // once everything has been sent
  bool lingering_ = false;  // all is sent; what still comes is dropped
  bool told_to_continue_ = false;
  net::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane

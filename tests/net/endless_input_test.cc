#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "net/net.h"
#include "support/endless_writer.h"

namespace ibisvalve::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const world::Endpoint kAnyPort{"127.0.0.1", 0};

// Connection that writes a start and then a pattern without end.
class EndlessConnection {
 public:
  EndlessConnection(EventLoop& loop,
                    bufferevent* end,
                    const std::string& start,
                    const std::string& repeated)
      : end_(end), writer_(loop, end, Repeat(repeated)) {
    bufferevent_enable(end, EV_WRITE);
    bufferevent_write(end, start.data(), start.size());
  }
  ~EndlessConnection() {
    writer_.Stop();
    bufferevent_free(end_);
  }

  size_t accepted() const { return writer_.accepted(); }

 private:
  bufferevent* end_;
  EndlessWriter writer_;
};

void RunFor(EventLoop& loop, Duration duration) {
  Timer stop(loop, [&] { loop.Stop(); });
  stop.StartOnce(duration);
  loop.Run();
}

// Guards against a server that keeps requests which are pipelined without end
// until its process runs out of memory.
TEST(EndlessInputTest, AnAdminServerLeavesPipelinedRequestsUnread) {
  EventLoop loop;
  AdminServer server(loop, kAnyPort, AdminLimits{64 << 10});
  server.Handle("GET", "/page", [](const AdminRequest&, const auto& reply) {
    reply({200, "text/plain", std::string(64 << 10, 'x')});
  });
  bufferevent* end =
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const SocketAddress address = ToSocketAddress(server.local());
  bufferevent_socket_connect(end, address.get(),
                             static_cast<int>(address.length));
  EndlessConnection caller(loop, end, "",
                           "GET /page HTTP/1.1\r\nHost: x\r\n\r\n");
  RunFor(loop, seconds(2));
  EXPECT_LT(caller.accepted(), kMaxAcceptedBytes);
  HttpResult result;
  FetchHttp(loop, server.local(), "GET", "/page", "", seconds(5),
            [&](const HttpResult& got) {
              result = got;
              loop.Stop();
            });
  loop.Run();
  EXPECT_EQ(result.status, 200) << "other callers are served";
}

// Fetches a page of a server that responds with `start` and then `repeated`
// without end. Returns the bytes that the server could send.
size_t FetchEndless(const std::string& start, const std::string& repeated) {
  constexpr Duration kTimeout = milliseconds(300);
  EventLoop loop;
  std::unique_ptr<EndlessConnection> connection;
  Listener listener(loop, kAnyPort, [&](int fd) {
    connection = std::make_unique<EndlessConnection>(
        loop, bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE),
        start, repeated);
  });
  HttpResult result;
  const Time begin = loop.Now();
  Timer give_up(loop, [&] {
    ADD_FAILURE() << "the call did not end";
    loop.Stop();
  });
  give_up.StartOnce(seconds(5));
  FetchHttp(
      loop, listener.local(), "GET", "/health", "", kTimeout,
      [&](const HttpResult& got) {
        result = got;
        loop.Stop();
      },
      64 << 10);
  loop.Run();
  EXPECT_EQ(result.status, 0) << start;
  EXPECT_LT(loop.Now() - begin, kTimeout + milliseconds(500)) << start;
  RunFor(loop, milliseconds(10));  // the connection is freed by the loop
  return connection == nullptr ? 0 : connection->accepted();
}

// Guards against a node that keeps what a faulty target sends without end in
// the response to a health check.
TEST(EndlessInputTest, AResponseWithoutEndEndsTheCall) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  EXPECT_LT(FetchEndless(head + "X-Long: ", "x"), kMaxAcceptedBytes);
  EXPECT_LT(FetchEndless(head + "Content-Length: 9999999\r\n\r\n", "x"),
            kMaxAcceptedBytes);
  EXPECT_LT(FetchEndless(head + "\r\n", "x"), kMaxAcceptedBytes);
  EXPECT_LT(FetchEndless(head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"),
            kMaxAcceptedBytes);
  EXPECT_LT(FetchEndless(head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                         "X: x\r\n"),
            kMaxAcceptedBytes);
}

}  // namespace
}  // namespace ibisvalve::net

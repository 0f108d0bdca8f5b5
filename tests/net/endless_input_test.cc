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

}  // namespace
}  // namespace ibisvalve::net

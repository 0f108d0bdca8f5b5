#include "dataplane/caller_server.h"

#include <gtest/gtest.h>

#include "dataplane/raw_socket.h"

namespace ibisvalve::dataplane {
namespace {

// A planned stop closes the idle connections of callers at a moment at which
// one of them has just been closed but is not removed yet. The process must not
// end, because it would cut off the other callers' requests.
TEST(CallerServerTest, StopsListeningRightAfterAConnectionWasClosed) {
  net::EventLoop loop;
  bool stopped = false;
  std::optional<CallerServer> server;
  CallerServer::Handlers handlers;
  handlers.on_request = [&](const std::shared_ptr<CallerExchange>& exchange) {
    exchange->Abort();
    server->StopListening();
    stopped = true;
  };
  MemoryBudget memory(1 << 20);
  server.emplace(loop, world::Endpoint{"127.0.0.1", 0}, 10, memory, handlers);
  RawClient caller(loop, server->local());
  caller.Write("GET / HTTP/1.1\r\nHost: halls.example\r\n\r\n");
  net::Timer end(loop, [&] { loop.Stop(); });
  end.StartOnce(std::chrono::milliseconds(200));
  loop.Run();
  EXPECT_TRUE(stopped);
  EXPECT_EQ(server->connections(), 0U);
}

}  // namespace
}  // namespace ibisvalve::dataplane

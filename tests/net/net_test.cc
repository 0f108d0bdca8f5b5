#include "net/net.h"

#include <event2/bufferevent.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace ibisvalve::net {
namespace {

const world::Endpoint kAnyPort{"127.0.0.1", 0};

// Fails the test and stops `loop` after 20 s.
class Deadline {
 public:
  explicit Deadline(EventLoop& loop)
      : timer_(loop, [&loop] {
          ADD_FAILURE() << "test did not finish within 20 s";
          loop.Stop();
        }) {
    timer_.StartOnce(std::chrono::seconds(20));
  }

 private:
  Timer timer_;
};

TEST(FrameLinkTest, CarriesFramesAndClosesOnMalformedFrame) {
  EventLoop loop;
  Deadline deadline(loop);
  std::unique_ptr<FrameLink> server;
  std::vector<std::string> keys;
  std::string why;
  Listener listener(loop, kAnyPort, [&](int fd) {
    server = FrameLink::Accept(
        loop, fd,
        {nullptr,
         [&](wire::FrameType, std::string_view payload) {
           keys.push_back(wire::Decode<wire::ClaimRequest>(payload).key.key);
         },
         [&](const std::string& reason) {
           why = reason;
           loop.Stop();
         },
         nullptr});
  });
  std::unique_ptr<FrameLink> client;
  client = FrameLink::Connect(
      loop, listener.local(),
      {[&] {
         wire::ClaimRequest request;
         request.key.key = "one";
         client->Send(request);
         request.key.key = "two";
         client->Send(request);
         client->SendRaw("GET / HTTP/1.1\r\n\r\n");
       },
       [](wire::FrameType, std::string_view) {}, nullptr, nullptr});
  loop.Run();
  EXPECT_EQ(keys, (std::vector<std::string>{"one", "two"}));
  EXPECT_EQ(why, "not a frame of this protocol");
}

TEST(DatagramSocketTest, CarriesDatagrams) {
  EventLoop loop;
  Deadline deadline(loop);
  std::string got;
  DatagramSocket receiver(loop, kAnyPort,
                          [&](const world::Endpoint&, std::string_view bytes) {
                            got = std::string(bytes);
                            loop.Stop();
                          });
  DatagramSocket sender(loop, kAnyPort,
                        [](const world::Endpoint&, std::string_view) {});
  sender.Send(receiver.local(), "hello");
  loop.Run();
  EXPECT_EQ(got, "hello");
}

// A request that lay in its connection must not count as one that was sent when
// it is read.
TEST(AdminServerTest, ARequestIsStampedFromBeforeItWasSent) {
  EventLoop loop;
  Deadline deadline(loop);
  AdminServer server(loop, kAnyPort);
  uint64_t known = 7;
  server.SetStamps([&] { return known; });
  ++known;  // not refreshed: a connection may have been established before
  std::vector<std::optional<uint64_t>> stamps;
  server.Handle("GET", "/page", [&](const AdminRequest& request, auto reply) {
    stamps.push_back(request.stamp);
    known += 10;  // until the response is sent
    reply({200, "text/plain", "ok"});
    known += 10;  // before the next request is read
  });
  bufferevent* end =
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const SocketAddress address = ToSocketAddress(server.local());
  bufferevent_socket_connect(end, address.get(),
                             static_cast<int>(address.length));
  const std::string request = "GET /page HTTP/1.1\r\nHost: x\r\n\r\n";
  Timer check(loop, [&] {
    if (stamps.size() == 2) {
      loop.Stop();
    }
  });
  check.StartPeriodic(std::chrono::milliseconds(2));
  bufferevent_write(end, request.data(), request.size());
  Timer second(loop,
               [&] { bufferevent_write(end, request.data(), request.size()); });
  second.StartOnce(std::chrono::milliseconds(50));
  loop.Run();
  bufferevent_free(end);
  EXPECT_EQ(stamps, (std::vector<std::optional<uint64_t>>{7, 18}));
}

TEST(AdminServerTest, RepliesImmediatelyAndLater) {
  EventLoop loop;
  Deadline deadline(loop);
  AdminServer server(loop, kAnyPort);
  server.Handle("GET", "/now", [](const AdminRequest& request, auto reply) {
    reply({200, "text/plain", request.query.at("name")});
  });
  server.Handle("POST", "/later", [&](const AdminRequest& request, auto reply) {
    loop.Post([reply, body = request.body] {
      reply({202, "text/plain", body});
    });
  });
  HttpResult now, later, missing;
  FetchHttp(loop, server.local(), "GET", "/now?name=a%20b", "",
            std::chrono::seconds(5),
            [&](const HttpResult& result) { now = result; });
  FetchHttp(loop, server.local(), "POST", "/later", "text",
            std::chrono::seconds(5), [&](const HttpResult& result) {
              later = result;
              FetchHttp(loop, server.local(), "GET", "/missing", "",
                        std::chrono::seconds(5), [&](const HttpResult& other) {
                          missing = other;
                          loop.Stop();
                        });
            });
  loop.Run();
  EXPECT_EQ(now, (HttpResult{200, "a b", ""}));
  EXPECT_EQ(later, (HttpResult{202, "text", ""}));
  EXPECT_EQ(missing.status, 404);
}

TEST(HttpClientTest, ReportsReasonForMissingResponse) {
  EventLoop loop;
  Deadline deadline(loop);
  world::Endpoint closed;
  {
    Listener listener(loop, kAnyPort, [](int) {});
    closed = listener.local();
  }
  HttpResult result;
  FetchHttp(loop, closed, "GET", "/", "", std::chrono::seconds(5),
            [&](const HttpResult& answer) {
              result = answer;
              loop.Stop();
            });
  loop.Run();
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.error, "cannot connect");
}

}  // namespace
}  // namespace ibisvalve::net

#include <gmock/gmock.h>

#include <random>

#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"

namespace ibisvalve::dataplane {
namespace {

using testing::HasSubstr;
using testing::StartsWith;

// Fixture with one node whose target responds with "fine", and a check that
// requests are still answered.
class BadInputTest : public PlaneTest {
 protected:
  BadInputTest() {
    node_ = &AddNode("suva-1", &target_);
    WaitReady(*node_);
  }

  // Sends raw bytes to the callers' port. Returns the bytes received until the
  // node closes the connection or has sent `enough`.
  std::string Exchange(const std::string& bytes, const std::string& enough) {
    RawClient caller(loop_, node_->plane->callers());
    caller.Write(bytes);
    RunUntil([&] {
      return caller.closed() ||
             caller.received().find(enough) != std::string::npos;
    });
    return caller.received();
  }

  // Sends raw bytes to the mesh port and waits until the node closes the
  // connection.
  void SendToMeshUntilClosed(const std::string& bytes) {
    RawClient peer(loop_, node_->plane->mesh());
    peer.Write(bytes);
    RunUntil([&] { return peer.closed(); });
  }

  void ExpectAlive() {
    EXPECT_EQ(Fetch(*node_, {"GET", "/rooms", {}, ""}).body, "fine");
  }

  static std::string EncodedHello() {
    return wire::EncodeFrame(
        wire::MeshHello{NodeId("peer"), Incarnation(7), Revision(1)});
  }

  FakeTarget target_{
      loop_, [](evhttp_request* request) { RespondOk(request, "fine"); }};
  Node* node_ = nullptr;
};

TEST_F(BadInputTest, ARequestWithAmbiguousFramingIsRefused) {
  const std::string start = "POST /bookings HTTP/1.1\r\nHost: bookdesk\r\n";
  for (const std::string& headers :
       {std::string("Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"),
        std::string("Content-Length: +3\r\n\r\nabc"),
        std::string("Content-Length: -3\r\n\r\nabc"),
        std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "3\r\nabc\r\n0\r\n\r\n")}) {
    EXPECT_THAT(Exchange(start + headers, "\r\n\r\n"),
                StartsWith("HTTP/1.1 400"))
        << headers;
  }
  EXPECT_TRUE(target_.seen().empty());
  ExpectAlive();
}

TEST_F(BadInputTest, ARequestWithoutHostIsRefused) {
  EXPECT_THAT(Exchange("GET / HTTP/1.1\r\n\r\n", "\r\n\r\n"),
              HasSubstr(" 400 "));
  EXPECT_THAT(Exchange("GET / HTTP/1.0\r\n\r\n", "\r\n\r\n"),
              HasSubstr(" 400 "));
  ExpectAlive();
}

TEST_F(BadInputTest, AnOversizeHeaderIsRefused) {
  constexpr size_t kHeaderBytes = 8 << 20;
  const std::string response =
      Exchange("GET / HTTP/1.1\r\nHost: bookdesk\r\nX-Long: " +
                   std::string(kHeaderBytes, 'x') + "\r\n\r\n",
               "\r\n\r\n");
  EXPECT_EQ(response.find(" 200 "), std::string::npos) << response;
  EXPECT_TRUE(target_.seen().empty());
  ExpectAlive();
}

TEST_F(BadInputTest, PipelinedRequestsAreAnsweredInTheirOrder) {
  const std::string response = Exchange(
      "GET /a HTTP/1.1\r\nHost: bookdesk\r\n\r\n"
      "GET /b HTTP/1.1\r\nHost: bookdesk\r\nConnection: close\r\n\r\n",
      "never sent");
  EXPECT_EQ(target_.seen(), (std::vector<std::string>{"/a", "/b"}));
  const size_t first = response.find("fine");
  EXPECT_NE(response.find("fine", first + 1), std::string::npos);
}

TEST_F(BadInputTest, InvalidFramesOnTheMeshPortCloseTheConnection) {
  SendToMeshUntilClosed("GET / HTTP/1.1\r\n\r\n");
  std::string wrong_version = EncodedHello();
  wrong_version[2] = 99;
  SendToMeshUntilClosed(wrong_version);
  SendToMeshUntilClosed(wire::EncodeHeader({2, 0x7FFFFFFF}));
  SendToMeshUntilClosed(EncodedHello() + wire::EncodeHeader({200, 0}));
  ExpectAlive();
}

TEST_F(BadInputTest, RandomPayloadsOfEveryFrameLeaveTheNodeAlive) {
  std::mt19937 random(20261204);
  std::uniform_int_distribution<int> byte(0, 255);
  constexpr wire::FrameType kLastMeshType = 19;
  for (wire::FrameType type = 1; type <= kLastMeshType; ++type) {
    for (size_t size : {size_t{0}, size_t{7}, size_t{64}, size_t{400}}) {
      std::string payload(size, '\0');
      for (char& one : payload) {
        one = static_cast<char>(byte(random));
      }
      RawClient peer(loop_, node_->plane->mesh());
      peer.Write(EncodedHello() +
                 wire::EncodeHeader({type, static_cast<uint32_t>(size)}) +
                 payload + "no frame");
      RunUntil([&] { return peer.closed(); });
    }
  }
  ExpectAlive();
}

TEST_F(BadInputTest, RandomBytesOnTheCallersPortLeaveTheNodeAlive) {
  std::mt19937 random(20261204);
  std::uniform_int_distribution<int> byte(0, 255);
  for (int i = 0; i < 50; ++i) {
    std::string bytes(200, '\0');
    for (char& one : bytes) {
      one = static_cast<char>(byte(random));
    }
    RawClient caller(loop_, node_->plane->callers());
    caller.Write(bytes + "\r\n\r\n\r\n\r\n");
    RunUntil([&] { return caller.closed() || !caller.received().empty(); });
  }
  ExpectAlive();
}

// Guards against an HTTP client, such as that of evhttp, that resends a request
// by itself when the target breaks a reused connection.
TEST_F(PlaneTest, ARequestIsNotSentAgainWhenTheTargetBreaksAReusedConnection) {
  int bookings = 0;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) != "/bookings") {
      RespondOk(request, "kept");
      return;
    }
    ++bookings;
    shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(
                 evhttp_request_get_connection(request))),
             SHUT_RDWR);
  });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  Fetch(node, {"GET", "/rooms", {}, ""});  // leaves an idle connection
  const CallerResponse response = Fetch(node, {"POST", "/bookings", {}, "two"});
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(response.Get("Ibis-Outcome"), "unknown");
  EXPECT_EQ(bookings, 1);
}

}  // namespace
}  // namespace ibisvalve::dataplane

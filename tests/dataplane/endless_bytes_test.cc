#include <ostream>

#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"
#include "support/endless_writer.h"

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What is sent without end, after a beginning.
struct EndlessCase {
  const char* name;
  std::string start;
  std::string repeated;
};

void PrintTo(const EndlessCase& param, std::ostream* out) {
  *out << param.name;
}

// Target that begins a response and sends bytes without end.
class EndlessTarget {
 public:
  EndlessTarget(net::EventLoop& loop, const EndlessCase& bytes)
      : loop_(loop),
        bytes_(bytes),
        listener_(loop, kAnyPort, [this](int fd) { Accept(fd); }) {}
  ~EndlessTarget() {
    writers_.clear();
    for (bufferevent* end : ends_) {
      bufferevent_free(end);
    }
  }

  world::Endpoint local() const { return listener_.local(); }
  size_t requests() const { return writers_.size(); }
  size_t accepted() const {
    size_t bytes = 0;
    for (const auto& [end, writer] : writers_) {
      bytes += writer->accepted();
    }
    return bytes;
  }

 private:
  void Accept(int fd) {
    bufferevent* end =
        bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    ends_.push_back(end);
    bufferevent_setcb(
        end,
        [](bufferevent* readable, void* argument) {
          auto* self = static_cast<EndlessTarget*>(argument);
          evbuffer* input = bufferevent_get_input(readable);
          evbuffer_drain(input, evbuffer_get_length(input));
          bufferevent_write(readable, self->bytes_.start.data(),
                            self->bytes_.start.size());
          self->writers_[readable] = std::make_unique<EndlessWriter>(
              self->loop_, readable, Repeat(self->bytes_.repeated));
        },
        nullptr,
        [](bufferevent* closed, int16_t, void* argument) {
          // A health check connects and closes as well.
          const auto& writers = static_cast<EndlessTarget*>(argument)->writers_;
          const auto found = writers.find(closed);
          if (found != writers.end()) {
            found->second->Stop();
          }
        },
        this);
    bufferevent_enable(end, EV_READ | EV_WRITE);
  }

  net::EventLoop& loop_;
  EndlessCase bytes_;
  std::list<bufferevent*> ends_;
  std::map<bufferevent*, std::unique_ptr<EndlessWriter>> writers_;
  net::Listener listener_;
};

class EndlessResponseTest : public PlaneTest,
                            public testing::WithParamInterface<EndlessCase> {
 protected:
  EndlessResponseTest() {
    names_.request_id = "Request-Id";
    WaitReady(AddNode("suva-1", target_.local()));
    ingress_ = &AddNode("suva-2", nullptr);
  }

  EndlessTarget target_{loop_, GetParam()};
  Node* ingress_ = nullptr;
};

// Guards against a node that keeps all bytes of a faulty target, which are no
// response or no part of one, until it runs out of memory.
TEST_P(EndlessResponseTest, EndsTheCallAtABound) {
  const Time begin = loop_.Now();
  const CallerResponse response =
      Fetch(*ingress_, {"POST", "/bookings", {{"Request-Id", "r-1"}}, ""});
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(response.Get("Ibis-Outcome"), "unknown");
  EXPECT_LT(loop_.Now() - begin, seconds(3)) << "long before the deadline";
  EXPECT_EQ(target_.requests(), 1U);
  EXPECT_LT(target_.accepted(), kMaxAcceptedBytes);
}

std::vector<EndlessCase> ResponseCases() {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"BodyOfAnotherRequest",
       "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 99999999999\r\n"
       "\r\n",
       "x"},
      {"BodyWithoutLengthOfAnotherRequest",
       "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\n\r\n", "x"},
      {"BodyWithoutRequestId",
       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
      {"ResponsesToOtherRequests", "",
       "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 1\r\n\r\nx"},
      {"InterimResponses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
      {"ChunkHeader", chunked + "1;", "x"},
      {"Trailers", chunked + "0\r\n", "Trailer: x\r\n"},
      {"Head", "HTTP/1.1 200 OK\r\nLink: ", "x"},
      {"EmptyLines", "", "\r\n"},
  };
}

INSTANTIATE_TEST_SUITE_P(All,
                         EndlessResponseTest,
                         testing::ValuesIn(ResponseCases()),
                         [](const auto& test) {
                           return std::string(test.param.name);
                         });

class EndlessRequestTest : public PlaneTest,
                           public testing::WithParamInterface<EndlessCase> {
 protected:
  FakeTarget target_{
      loop_, [](evhttp_request* request) { RespondOk(request, "fine"); }};
};

// Guards against a node that keeps all bytes of a caller that are no request or
// no part of one, until it runs out of memory.
TEST_P(EndlessRequestTest, IsRefusedAtABound) {
  const Node& node = AddNode("suva-1", &target_);
  WaitReady(node);
  RawClient caller(loop_, node.plane->callers());
  caller.Write(GetParam().start);
  EndlessWriter writer(loop_, caller.end(), Repeat(GetParam().repeated));
  const Time limit = loop_.Now() + seconds(5);
  RunUntil([&] {
    return caller.closed() || !caller.received().empty() ||
           loop_.Now() >= limit;
  });
  EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 4")) << caller.received();
  EXPECT_LT(writer.accepted(), kMaxAcceptedBytes);
  writer.Stop();
  EXPECT_EQ(Fetch(node, {"GET", "/rooms", {}, ""}).body, "fine");
}

std::vector<EndlessCase> RequestCases() {
  const std::string chunked =
      "POST /bookings HTTP/1.1\r\nHost: bookdesk\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"ChunkHeader", chunked + "1;", "x"},
      {"Trailers", chunked + "0\r\n", "Trailer: x\r\n"},
      {"Head", "GET / HTTP/1.1\r\nHost: bookdesk\r\nX-Long: ", "x"},
      {"RequestTarget", "GET /", "x"},
  };
}

INSTANTIATE_TEST_SUITE_P(All,
                         EndlessRequestTest,
                         testing::ValuesIn(RequestCases()),
                         [](const auto& test) {
                           return std::string(test.param.name);
                         });

}  // namespace
}  // namespace ibisvalve::dataplane

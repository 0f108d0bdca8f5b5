#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"

namespace ibisvalve::dataplane {
namespace {

// A caller at the target's own host, or at another one.
class OddResponseTest : public PlaneTest,
                        public testing::WithParamInterface<bool> {
 protected:
  OddResponseTest() {
    service_.limits.request_body = 16 << 20;
    WaitReady(AddNode("suva-1", target_.local()));
    ingress_ = GetParam() ? nodes_.front().get() : &AddNode("suva-2", nullptr);
  }

  RawServer target_{loop_, "", AfterResponse::kClose};
  Node* ingress_ = nullptr;
};

// Guards against a status line of a target in trouble that a caller gets as a
// response.
TEST_P(OddResponseTest, AStatusThatHttpDoesNotHaveIsNoResponse) {
  int number = 0;  // a request that breaks a target twice is quarantined
  for (const char* status :
       {"000", "099", "20", "2000", "-12", "600", "999", "65736"}) {
    for (const AfterResponse end :
         {AfterResponse::kKeepOpen, AfterResponse::kClose}) {
      target_.SetResponse(std::string("HTTP/1.1 ") + status +
                              " Odd\r\nContent-Length: 2\r\n\r\nok",
                          end);
      const CallerResponse response = Fetch(
          *ingress_, {"POST", "/bookings/" + std::to_string(++number), {}, ""});
      EXPECT_EQ(response.status, 502) << status;
      EXPECT_EQ(response.Get("Ibis-Outcome"), "unknown") << status;
    }
  }
}

// Guards against a part of a response that looks complete: the target answers
// without a length while the request is still being written, and then resets
// the connection.
TEST_P(OddResponseTest, AnEarlyResponseThatIsResetIsNotComplete) {
  for (const size_t bytes : {size_t{0}, size_t{300}, size_t{300'000}}) {
    target_.SetResponse("HTTP/1.1 200 OK\r\n\r\n" + std::string(bytes, 'x'),
                        AfterResponse::kReset);
    const CallerResponse response =
        Fetch(*ingress_,
              {"POST", "/bookings/2", {}, std::string(size_t{4} << 20, 'u')});
    EXPECT_FALSE(response.status == 200 && response.whole) << bytes;
  }
}

INSTANTIATE_TEST_SUITE_P(Hosts,
                         OddResponseTest,
                         testing::Bool(),
                         [](const auto& param) {
                           return param.param ? "Local" : "Remote";
                         });

}  // namespace
}  // namespace ibisvalve::dataplane

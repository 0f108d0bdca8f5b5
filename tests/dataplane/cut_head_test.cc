#include <ostream>

#include "dataplane/plane_fixture.h"
#include "dataplane/raw_socket.h"

namespace ibisvalve::dataplane {
namespace {

// A head of a response and where the request comes in.
struct CutHeadCase {
  const char* name;
  std::string head;
  AfterResponse end;
  bool local;  // the target is on the ingress's own host
};

void PrintTo(const CutHeadCase& param, std::ostream* out) {
  *out << param.name;
}

// Fixture with a target that sends the first bytes of a head and then closes or
// resets the connection.
class CutHeadTest : public PlaneTest,
                    public testing::WithParamInterface<CutHeadCase> {
 protected:
  CutHeadTest() {
    WaitReady(AddNode("suva-1", target_.local()));
    ingress_ =
        GetParam().local ? nodes_.front().get() : &AddNode("suva-2", nullptr);
  }

  RawServer target_{loop_, "", AfterResponse::kClose};
  Node* ingress_ = nullptr;
};

// Guards against a 200 with an empty or short body, framed as complete, for a
// response of which the target sent only a part of the head.
TEST_P(CutHeadTest, IsNeverDeliveredAsAResponse) {
  const std::string& head = GetParam().head;
  // A reset is sent 20 ms later than a close.
  const size_t step = GetParam().end == AfterResponse::kReset ? 9 : 1;
  for (size_t bytes = 1; bytes < head.size(); bytes += step) {
    target_.SetResponse(head.substr(0, bytes), GetParam().end);
    const CallerResponse response = Fetch(
        *ingress_, {"POST", "/bookings/" + std::to_string(bytes), {}, ""});
    EXPECT_EQ(response.status, 502) << bytes;
    EXPECT_EQ(response.Get("Ibis-Outcome"), "unknown") << bytes;
  }
}

// Guards against the same where the caller sends several requests at once.
TEST_P(CutHeadTest, IsNeverDeliveredToAPipeliningCaller) {
  const std::string& head = GetParam().head;
  target_.SetResponse(head.substr(0, head.size() - 2), GetParam().end);
  RawClient caller(loop_, ingress_->plane->callers());
  for (const char* uri : {"/bookings/a", "/bookings/b", "/bookings/c"}) {
    caller.Write(std::string("POST ") + uri +
                 " HTTP/1.1\r\nHost: bookdesk\r\nContent-Length: 0\r\n\r\n");
  }
  const auto count = [&](const std::string& text) {
    size_t found = 0;
    for (size_t at = caller.received().find(text); at != std::string::npos;
         at = caller.received().find(text, at + 1)) {
      ++found;
    }
    return found;
  };
  RunUntil([&] { return count("HTTP/1.1 502") == 3 || caller.closed(); });
  EXPECT_EQ(count("HTTP/1.1 502"), 3U) << caller.received();
  EXPECT_EQ(count("HTTP/1.1"), 3U) << caller.received();
}

std::vector<CutHeadCase> Cases() {
  const std::string start = "HTTP/1.1 200 OK\r\nResponse-Stamp: 3e1b\r\n";
  const std::vector<std::pair<const char*, std::string>> heads = {
      {"WithLength", start + "Content-Length: 6\r\n\r\n"},
      {"WithoutLength", start + "Connection: close\r\n\r\n"},
      {"Chunked", start + "Transfer-Encoding: chunked\r\n\r\n"},
      {"AfterAnInterimResponse", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                                     start + "Connection: close\r\n\r\n"},
  };
  std::vector<CutHeadCase> cases;
  for (const auto& [name, head] : heads) {
    for (const auto end : {AfterResponse::kClose, AfterResponse::kReset}) {
      for (const bool local : {false, true}) {
        cases.push_back({name, head, end, local});
      }
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(
    Heads,
    CutHeadTest,
    testing::ValuesIn(Cases()),
    [](const testing::TestParamInfo<CutHeadCase>& param_info) {
      return std::string(param_info.param.name) +
             (param_info.param.end == AfterResponse::kReset ? "Reset"
                                                            : "Closed") +
             (param_info.param.local ? "OnOwnHost" : "");
    });

}  // namespace
}  // namespace ibisvalve::dataplane

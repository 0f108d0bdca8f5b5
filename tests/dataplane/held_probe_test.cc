#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

std::optional<TargetLoad> ParseNothing(std::string_view) {
  return std::nullopt;
}

class HeldProbeTest : public PlaneTest {};

// Guards against requests that wait until their deadline for a load probe which
// the target never answers.
TEST_F(HeldProbeTest, RequestsDoNotWaitForAProbeThatTheTargetHolds) {
  names_.load = "X-Load";
  names_.parse_load = ParseNothing;
  service_.health_path = "/load";
  std::vector<evhttp_request*> held;
  FakeTarget target(loop_, [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/load") {
      held.push_back(request);
    } else {
      RespondOk(request, "fine");
    }
  });
  Node& node = AddNode("suva-1", &target);
  WaitReady(node);
  for (int i = 0; i < 3; ++i) {
    const Time sent = loop_.Now();
    EXPECT_EQ(Fetch(node, {"GET", "/rooms", {}, ""}).body, "fine");
    EXPECT_LE(loop_.Now() - sent, std::chrono::milliseconds(200)) << i;
    net::Timer pause(loop_, [this] { loop_.Stop(); });
    pause.StartOnce(std::chrono::milliseconds(50));
    loop_.Run();
  }
  EXPECT_EQ(held.size(), 1U);
}

}  // namespace
}  // namespace ibisvalve::dataplane

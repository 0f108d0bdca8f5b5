#include "dataplane/plane_fixture.h"

namespace ibisvalve::dataplane {
namespace {

TEST_F(PlaneTest, AStragglerIsHedgedAndTheLoserCancelled) {
  evhttp_request* held = nullptr;
  const auto handler = [&](evhttp_request* request) {
    if (std::string(evhttp_request_get_uri(request)) == "/slow" &&
        held == nullptr) {
      held = request;
    } else {
      Answer(request, "quick");
    }
  };
  FakeTarget one(loop_, handler);
  FakeTarget two(loop_, handler);
  Node& ingress = AddNode("suva-1", nullptr);
  Node& first = AddNode("suva-2", &one);
  Node& second = AddNode("suva-3", &two);
  WaitReady(first);
  WaitReady(second);
  constexpr int kSamples = 100;  // from which the usual latency is known
  for (int i = 0; i < kSamples; ++i) {
    Fetch(ingress, {"GET", "/rooms", {}, ""});
  }
  const CallerAnswer answer = Fetch(ingress, {"GET", "/slow", {}, ""});
  EXPECT_EQ(answer.body, "quick");
  EXPECT_EQ(answer.Get("Ibis-Attempts"), "2");
  EXPECT_TRUE(ingress.records.back().hedged);
  RunUntil([&] {
    return Metric(first, "ibis_gate_in_flight") == 0 &&
           Metric(second, "ibis_gate_in_flight") == 0;
  });
  EXPECT_EQ(Metric(first, "ibis_gate_cancelled_total") +
                Metric(second, "ibis_gate_cancelled_total"),
            1);
}

}  // namespace
}  // namespace ibisvalve::dataplane

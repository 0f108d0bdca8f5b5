#include <gtest/gtest.h>

#include "observe/observe.h"

namespace ibisvalve::observe {
namespace {

TEST(RenderMetricsTest, GroupsSamplesIntoFamilies) {
  EXPECT_EQ(
      RenderMetrics({{"ibis_runs_total", {{"service", "a"}}, 3, true},
                     {"ibis_in_flight", {}, 2, false},
                     {"ibis_runs_total", {{"service", "b\"c"}}, 4, true}}),
      "# TYPE ibis_in_flight gauge\n"
      "ibis_in_flight 2\n"
      "# TYPE ibis_runs_total counter\n"
      "ibis_runs_total{service=\"a\"} 3\n"
      "ibis_runs_total{service=\"b\\\"c\"} 4\n");
}

TEST(RenderMetricsTest, CleansNames) {
  EXPECT_EQ(RenderMetrics({{"1 odd-name", {{"a b", "x"}}, 1, false}}),
            "# TYPE _1_odd_name gauge\n_1_odd_name{a_b=\"x\"} 1\n");
}

}  // namespace
}  // namespace ibisvalve::observe

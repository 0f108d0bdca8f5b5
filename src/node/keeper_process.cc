#include "node/keeper_process.h"

#include <string>
#include <vector>

#include "node/events.h"
#include "observe/observe.h"

namespace ibisvalve::node {
namespace {

control::KeeperSettings ToKeeperSettings(const config::Settings& settings) {
  control::KeeperSettings keeper;
  keeper.id = settings.id;
  keeper.control = settings.control;
  keeper.data = settings.data;
  keeper.keepers = settings.keepers;
  return keeper;
}

control::CheckedFile CheckText(const std::string& text) {
  try {
    const world::Fleet fleet = config::ParseFleet(text, "applied file");
    return {"", fleet.control.lease};
  } catch (const InvalidInput& error) {
    return {error.what(), {}};
  }
}

}  // namespace

KeeperProcess::KeeperProcess(net::EventLoop& loop,
                             const config::Settings& settings)
    : admin_(loop, settings.admin),
      keeper_(loop, ToKeeperSettings(settings), CheckText) {
  keeper_.Serve(admin_);
  ServePages();
  LogEvent(kProcessStarted, {{"role", "keeper"},
                             {"id", settings.id.value},
                             {"control", world::ToString(keeper_.control())},
                             {"admin", world::ToString(admin_.local())}});
}

void KeeperProcess::ServePages() {
  admin_.Handle("GET", "/healthz", [](const auto&, const auto& reply) {
    reply({200, "application/json", R"({"ready":true})"});
  });
  admin_.Handle("GET", "/metrics", [this](const auto&, const auto& reply) {
    std::vector<MetricSample> samples;
    keeper_.Collect(samples);
    reply({200, "text/plain; version=0.0.4", observe::RenderMetrics(samples)});
  });
}

}  // namespace ibisvalve::node

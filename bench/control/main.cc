// Benchmarks the control plane: keepers in separate processes, the control
// agents of many nodes in one process, and a keeper restart after many
// revisions. See README.md.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "bench/control/fleet_run.h"
#include "bench/control/measure.h"
#include "control/control.h"
#include "net/net.h"

DEFINE_string(mode, "nodes", "keeper, nodes or restart");
DEFINE_string(id, "keeper-1", "keeper: its id");
DEFINE_string(control, "127.0.0.1:0", "keeper: control endpoint to listen on");
DEFINE_string(admin, "127.0.0.1:0", "keeper: admin endpoint to listen on");
DEFINE_string(data, "", "keeper, restart: data directory");
DEFINE_string(keepers, "", "control endpoints of all keepers, comma-separated");
DEFINE_string(admins,
              "",
              "nodes: admin endpoints of all keepers, comma-separated");
DEFINE_string(pids, "", "nodes: process ids of the keepers, comma-separated");
DEFINE_uint64(nodes, 3, "nodes: number of nodes");
DEFINE_uint64(applies, 5, "nodes, restart: number of files to apply");
DEFINE_string(claimers,
              "",
              "nodes: numbers of claims in flight, comma-separated");

namespace ibisvalve::bench {
namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::vector<world::Endpoint> Endpoints(const std::string& text) {
  std::vector<world::Endpoint> endpoints;
  for (const std::string& part : Split(text)) {
    endpoints.push_back(world::ParseEndpoint(part).value());
  }
  return endpoints;
}

control::KeeperSettings MakeSettings(const std::string& data) {
  control::KeeperSettings settings;
  settings.id = NodeId(FLAGS_id);
  settings.control = world::ParseEndpoint(FLAGS_control).value();
  settings.data = data;
  settings.keepers = Endpoints(FLAGS_keepers);
  return settings;
}

// A keeper with its admin server on an event loop.
struct KeeperHost {
  KeeperHost(net::EventLoop& loop, const std::string& data)
      : admin(loop, world::ParseEndpoint(FLAGS_admin).value()),
        keeper(loop, MakeSettings(data), [](const std::string&) {
          return control::CheckedFile();
        }) {
    keeper.Serve(admin);
  }
  net::AdminServer admin;
  control::Keeper keeper;
};

void RunKeeper() {
  net::EventLoop loop;
  KeeperHost host(loop, FLAGS_data);
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
}

void RunNodes() {
  net::EventLoop loop;
  FleetRunSettings settings;
  settings.keepers = Endpoints(FLAGS_keepers);
  settings.admins = Endpoints(FLAGS_admins);
  settings.nodes = FLAGS_nodes;
  settings.applies = FLAGS_applies;
  for (const std::string& pid : Split(FLAGS_pids)) {
    settings.keeper_pids.push_back(std::stoi(pid));
  }
  FleetRun run(loop, settings);
  RunUntil(
      loop,
      [&] {
        const net::HttpResult fleet =
            FetchAdmin(loop, settings.admins.front(), "GET", "/fleet", "");
        return fleet.status == 200 &&
               nlohmann::json::parse(fleet.body)["nodes"].size() >=
                   settings.nodes;
      },
      std::chrono::seconds(30), "all nodes to appear in /fleet");
  run.MeasureApplies();
  run.MeasureIdle();
  for (const std::string& claimers : Split(FLAGS_claimers)) {
    run.SetClaimers(std::stoul(claimers));
    run.MeasureClaims();
  }
}

void WaitForPages(net::EventLoop& loop, KeeperHost& host) {
  RunUntil(
      loop,
      [&] {
        return FetchAdmin(loop, host.admin.local(), "GET", "/history", "")
                   .status == 200;
      },
      std::chrono::seconds(30), "a leader");
}

void RunRestart() {
  net::EventLoop loop;
  {
    KeeperHost host(loop, FLAGS_data);
    WaitForPages(loop, host);
    for (size_t base = 0; base < FLAGS_applies; ++base) {
      const std::string path = "/apply?change=c" + std::to_string(base);
      std::string text = "file " + std::to_string(base) + "\n";
      text.resize(8 << 10, '#');
      FetchAdmin(loop, host.admin.local(), "POST",
                 path + "&base=" + std::to_string(base), text);
      RunUntil(
          loop,
          [&] {
            return nlohmann::json::parse(
                       FetchAdmin(loop, host.admin.local(), "GET", path, "")
                           .body)["result"] == "active";
          },
          std::chrono::seconds(20), "the applied revision to be active");
    }
  }
  const Time start = loop.Now();
  KeeperHost host(loop, FLAGS_data);
  const Time recovered = loop.Now();
  WaitForPages(loop, host);
  const Time answered = loop.Now();
  std::printf(
      "restart after %llu revisions: recovered in %.1f ms, first "
      "confirmed read after %.1f ms, revisions %zu\n",
      static_cast<unsigned long long>(FLAGS_applies),
      static_cast<double>((recovered - start).count()) / 1000,
      static_cast<double>((answered - start).count()) / 1000,
      nlohmann::json::parse(
          FetchAdmin(loop, host.admin.local(), "GET", "/history", "")
              .body)["revisions"]
          .size());
}

}  // namespace
}  // namespace ibisvalve::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  try {
    if (FLAGS_mode == "keeper") {
      ibisvalve::bench::RunKeeper();
    } else if (FLAGS_mode == "nodes") {
      ibisvalve::bench::RunNodes();
    } else if (FLAGS_mode == "restart") {
      ibisvalve::bench::RunRestart();
    } else {
      std::fprintf(stderr, "unknown --mode %s\n", FLAGS_mode.c_str());
      return 2;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
  return 0;
}

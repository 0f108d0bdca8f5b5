#include "ctl/burn_command.h"

#include <cstdio>

#include "config/config.h"
#include "ctl/burn_page.h"
#include "ctl/files.h"
#include "ctl/fleet_commands.h"
#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

using observe::BurnWindow;
using observe::Ending;
using observe::ServiceBurn;

FleetBurn FetchFleetBurn(Session& session) {
  FleetBurn burn;
  burn.made_at = FormatWallTime(WallMicros());
  for (const PageAnswer& answer :
       session.FetchEach(NodeAdminEndpoints(session), "GET", "/burn")) {
    const auto report =
        answer.ok() ? observe::ParseReport(answer.body) : std::nullopt;
    if (report) {
      ++burn.nodes;
      observe::MergeReport(burn.report, *report);
    } else {
      burn.unreachable.push_back(answer.ok() ? world::ToString(answer.from) +
                                                   ": no burn report"
                                             : answer.ErrorMessage());
    }
  }
  return burn;
}

void PrintWindows(std::ostream& out, const FleetBurn& burn) {
  Table table({"SERVICE", "OBJECTIVE", "WINDOW", "REQUESTS", "IN TIME", "LATE",
               "FAILED", "REFUSED", "UNKNOWN", "LOST", "BURN", "BUDGET LEFT",
               "P50", "P99"});
  for (const ServiceBurn& service : burn.report.services) {
    for (const BurnWindow& window : service.windows) {
      std::vector<std::string> row = {
          service.service.value, FormatObjective(service.objective),
          window.name, std::to_string(observe::CoveredRequests(window.counts))};
      for (const Ending ending :
           {Ending::kInTime, Ending::kLate, Ending::kFailed, Ending::kRefused,
            Ending::kUnknown, Ending::kLost}) {
        row.push_back(std::to_string(window.counts.of(ending)));
      }
      row.push_back(FormatBurn(window, service.objective));
      row.push_back(FormatBudget(window, service.objective));
      row.push_back(FormatLatency(window.counts.latencies.Quantile(0.5)));
      row.push_back(FormatLatency(window.counts.latencies.Quantile(0.99)));
      table.Add(row);
    }
  }
  table.Print(out);
}

void PrintWorst(std::ostream& out, const FleetBurn& burn) {
  // Keeps the table short enough to read at a glance. JSON output has all
  // entries.
  constexpr size_t kMaxRows = 5;
  Table table({"SERVICE", "LAST HOUR", "NAME", "REQUESTS", "NOT IN TIME"});
  for (const ServiceBurn& service : burn.report.services) {
    const auto add = [&](const std::string& kind,
                         const std::vector<observe::WorstEntry>& entries) {
      for (size_t i = 0; i < entries.size() && i < kMaxRows; ++i) {
        table.Add({service.service.value, kind, entries[i].name,
                   std::to_string(entries[i].requests),
                   std::to_string(entries[i].bad)});
      }
    };
    add("zone", service.zones);
    add("target", service.targets);
  }
  out << '\n';
  table.Print(out);
}

nlohmann::json ToJson(const FleetBurn& burn) {
  nlohmann::json json = nlohmann::json::parse(observe::ToJson(burn.report));
  json["nodes"] = burn.nodes;
  json["unreachable"] = burn.unreachable;
  json["made_at"] = burn.made_at;
  return json;
}

}  // namespace

ExitCode RunReport(Session& session) {
  const Options& options = session.options();
  if (options.arguments != std::vector<std::string>{"burn"}) {
    throw CommandError(ExitCode::kUsage, "usage: ibisctl report burn");
  }
  const FleetBurn burn = FetchFleetBurn(session);
  if (burn.nodes == 0) {
    std::string errors;
    for (const std::string& error : burn.unreachable) {
      errors += "\n  " + error;
    }
    throw CommandError(ExitCode::kUnreachable,
                       "no node returned a burn report:" + errors);
  }
  if (!options.html.empty()) {
    WriteFile(options.html, RenderBurnPage(burn));
    session.err() << "wrote " << options.html << '\n';
  }
  if (session.json()) {
    session.out() << ToPrettyJson(ToJson(burn)) << '\n';
  } else {
    PrintWindows(session.out(), burn);
    PrintWorst(session.out(), burn);
  }
  session.err() << "read from " << burn.nodes << " nodes\n";
  for (const std::string& error : burn.unreachable) {
    session.err() << "could not be read: " << error << '\n';
  }
  return burn.unreachable.empty() ? ExitCode::kOk : ExitCode::kRefused;
}

}  // namespace ibisvalve::ctl

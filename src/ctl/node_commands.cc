#include "ctl/node_commands.h"

#include "ctl/fleet_commands.h"
#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

// Returns the admin endpoint of the node given on the command line, or the
// single admin address if none is given.
world::Endpoint NodeOf(Session& session) {
  const Options& options = session.options();
  if (options.arguments.empty()) {
    if (options.admins.size() != 1) {
      throw CommandError(
          ExitCode::kUsage,
          "expected a NODE argument or exactly one --admin address");
    }
    return options.admins.front();
  }
  if (options.arguments.size() != 1) {
    throw CommandError(ExitCode::kUsage,
                       options.command + " expects at most one NODE");
  }
  const std::string& id = options.arguments.front();
  for (const nlohmann::json& member : KnownNodes(session)) {
    const auto endpoint = world::ParseEndpoint(CellAt(member, "admin"));
    if (CellAt(member, "id") == id && endpoint) {
      return *endpoint;
    }
  }
  throw CommandError(ExitCode::kRefused, "no such node: " + id);
}

// Sends an idempotent command to one node, twice if the first answer is lost.
ExitCode Tell(Session& session, const std::string& page) {
  const world::Endpoint node = NodeOf(session);
  // Check first that the node can be reached, to tell an unreachable node from
  // a lost answer.
  const PageAnswer probe = session.Fetch(node, "GET", "/healthz", "");
  if (probe.status == 0) {
    throw CommandError(ExitCode::kUnreachable, probe.Fault());
  }
  PageAnswer answer = session.Fetch(node, "POST", page, "");
  if (answer.status == 0) {
    answer = session.Fetch(node, "POST", page, "");
  }
  if (answer.status == 0) {
    throw CommandError(ExitCode::kUnknown,
                       "the outcome of the command is unknown; "
                       "check it with ibisctl status: " +
                           answer.Fault());
  }
  if (!answer.ok()) {
    throw CommandError(ExitCode::kRefused, answer.Fault());
  }
  if (session.json()) {
    session.out() << Pretty(answer.json.is_discarded()
                                ? nlohmann::json::object()
                                : answer.json)
                  << '\n';
  } else {
    session.out() << "done at " << world::ToString(node) << '\n';
  }
  return ExitCode::kOk;
}

ExitCode ListQuarantine(Session& session) {
  const std::vector<world::Endpoint> nodes = NodeAdmins(session);
  nlohmann::json all = {{"quarantined", nlohmann::json::array()},
                        {"unreachable", nlohmann::json::array()}};
  Table table({"AT", "FINGERPRINT", "CRASHES", "SECONDS LEFT"});
  for (const PageAnswer& answer :
       session.FetchEach(nodes, "GET", "/quarantine")) {
    if (!answer.ok()) {
      all["unreachable"].push_back(world::ToString(answer.from));
      continue;
    }
    for (nlohmann::json entry : ListAt(answer.json, "quarantined")) {
      table.Add({world::ToString(answer.from), CellAt(entry, "fingerprint"),
                 CellAt(entry, "crashes"), CellAt(entry, "seconds_left")});
      entry["at"] = world::ToString(answer.from);
      all["quarantined"].push_back(entry);
    }
  }
  if (session.json()) {
    session.out() << Pretty(all) << '\n';
  } else {
    table.Print(session.out());
  }
  for (const nlohmann::json& node : all["unreachable"]) {
    session.err() << "could not be reached: " << node.get<std::string>()
                  << '\n';
  }
  return all["unreachable"].empty() ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode LiftQuarantine(Session& session, const std::string& fingerprint) {
  const std::vector<world::Endpoint> nodes = NodeAdmins(session);
  size_t lifted = 0;
  std::string faults;
  for (const PageAnswer& answer : session.FetchEach(
           nodes, "POST",
           "/quarantine/lift?fingerprint=" + CheckedWord(fingerprint))) {
    if (answer.ok()) {
      ++lifted;
    } else {
      faults += "\n  " + answer.Fault();
    }
  }
  session.out() << (session.json()
                        ? Pretty(
                              {{"lifted_at", lifted}, {"nodes", nodes.size()}})
                        : "lifted at " + std::to_string(lifted) + " of " +
                              std::to_string(nodes.size()) + " nodes")
                << '\n';
  if (!faults.empty()) {
    throw CommandError(lifted == 0 ? ExitCode::kRefused : ExitCode::kUnknown,
                       "the quarantine may not have been lifted at:" + faults);
  }
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunDrain(Session& session) {
  return Tell(session, "/drain");
}

ExitCode RunUndrain(Session& session) {
  return Tell(session, "/undrain");
}

ExitCode RunQuarantine(Session& session) {
  const std::vector<std::string>& arguments = session.options().arguments;
  if (arguments.empty()) {
    return ListQuarantine(session);
  }
  if (arguments.size() == 2 && arguments[0] == "lift") {
    return LiftQuarantine(session, arguments[1]);
  }
  throw CommandError(ExitCode::kUsage,
                     "usage: ibisctl quarantine [lift FINGERPRINT]");
}

}  // namespace ibisvalve::ctl

#include "ctl/node_commands.h"

#include "ctl/fleet_commands.h"
#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

// Returns the admin endpoint of the node given on the command line, or the
// single admin address if none is given.
world::Endpoint ResolveNode(Session& session) {
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
  for (const nlohmann::json& member : FetchNodes(session)) {
    const auto endpoint = world::ParseEndpoint(CellAt(member, "admin"));
    if (CellAt(member, "id") == id && endpoint) {
      return *endpoint;
    }
  }
  throw CommandError(ExitCode::kRefused, "no such node: " + id);
}

// Sends an idempotent command to one node, twice if the first answer is lost.
ExitCode SendToNode(Session& session, const std::string& page) {
  const world::Endpoint node = ResolveNode(session);
  // Check first that the node can be reached, to tell an unreachable node from
  // a lost answer.
  const PageAnswer probe = session.Fetch(node, "GET", "/healthz", "");
  if (probe.status == 0) {
    throw CommandError(ExitCode::kUnreachable, probe.ErrorMessage());
  }
  PageAnswer answer = session.Fetch(node, "POST", page, "");
  if (answer.status == 0) {
    answer = session.Fetch(node, "POST", page, "");
  }
  if (answer.status == 0) {
    throw CommandError(ExitCode::kUnknown,
                       "the outcome of the command is unknown; "
                       "check it with ibisctl status: " +
                           answer.ErrorMessage());
  }
  if (!answer.ok()) {
    throw CommandError(ExitCode::kRefused, answer.ErrorMessage());
  }
  if (session.json()) {
    session.out() << ToPrettyJson(answer.json.is_discarded()
                                      ? nlohmann::json::object()
                                      : answer.json)
                  << '\n';
  } else {
    session.out() << "done at " << world::ToString(node) << '\n';
  }
  return ExitCode::kOk;
}

ExitCode ListQuarantine(Session& session) {
  const std::vector<world::Endpoint> nodes = NodeAdminEndpoints(session);
  nlohmann::json all = {{"quarantined", nlohmann::json::array()},
                        {"unreachable", nlohmann::json::array()}};
  Table table({"AT", "FINGERPRINT", "SCOPE", "CRASHES", "SECONDS LEFT"});
  for (const PageAnswer& answer :
       session.FetchEach(nodes, "GET", "/quarantine")) {
    if (!answer.ok()) {
      all["unreachable"].push_back(world::ToString(answer.from));
      continue;
    }
    for (nlohmann::json entry : ListAt(answer.json, "quarantined")) {
      table.Add({world::ToString(answer.from), CellAt(entry, "fingerprint"),
                 CellAt(entry, "scope"), CellAt(entry, "crashes"),
                 CellAt(entry, "seconds_left")});
      entry["at"] = world::ToString(answer.from);
      all["quarantined"].push_back(entry);
    }
  }
  if (session.json()) {
    session.out() << ToPrettyJson(all) << '\n';
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
  const std::vector<world::Endpoint> nodes = NodeAdminEndpoints(session);
  size_t lifted = 0;
  std::string errors;
  for (const PageAnswer& answer : session.FetchEach(
           nodes, "POST",
           "/quarantine/lift?fingerprint=" + CheckQueryWord(fingerprint))) {
    if (answer.ok()) {
      ++lifted;
    } else {
      errors += "\n  " + answer.ErrorMessage();
    }
  }
  session.out() << (session.json()
                        ? ToPrettyJson(
                              {{"lifted_at", lifted}, {"nodes", nodes.size()}})
                        : "lifted at " + std::to_string(lifted) + " of " +
                              std::to_string(nodes.size()) + " nodes")
                << '\n';
  if (!errors.empty()) {
    throw CommandError(lifted == 0 ? ExitCode::kRefused : ExitCode::kUnknown,
                       "the quarantine may not have been lifted at:" + errors);
  }
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunDrain(Session& session) {
  return SendToNode(session, "/drain");
}

ExitCode RunUndrain(Session& session) {
  return SendToNode(session, "/undrain");
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

#include "ctl/fleet_commands.h"

#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

ExitCode PrintJson(Session& session, const nlohmann::json& json) {
  session.out() << ToPrettyJson(json) << '\n';
  return ExitCode::kOk;
}

// Returns `json[key]`, or null if it is absent.
nlohmann::json ValueOrNull(const nlohmann::json& json, const std::string& key) {
  return json.is_object() && json.contains(key) ? json[key] : nlohmann::json();
}

std::vector<std::string> FleetRow(const nlohmann::json& node,
                                  const std::string& active) {
  const std::string staged = CellAt(node, "staged");
  const std::string revision = CellAt(node, "revision");
  const nlohmann::json status = ValueOrNull(node, "status");
  const nlohmann::json gate = ValueOrNull(status, "gate");
  const bool behind = revision != active;
  return {CellAt(node, "id"),
          CellAt(node, "zone"),
          CellAt(node, "service"),
          revision + (behind ? " (behind)" : ""),
          FormatWallTime(NumberAt(node, "since_us")),
          staged == "0" ? "" : staged,
          CellAt(node, "lease") == "yes" ? "held" : "UNREACHABLE",
          CellAt(status, "target"),
          CellAt(gate, "running"),
          CellAt(gate, "queued"),
          CellAt(gate, "limit"),
          CellAt(status, "slots"),
          CellAt(status, "quarantined")};
}

void PrintFleet(Session& session, const nlohmann::json& fleet) {
  std::ostream& out = session.out();
  const std::string active = CellAt(fleet, "active");
  const uint64_t staged = NumberAt(fleet, "staged");
  out << "active revision " << active;
  if (staged > 0) {
    out << ", staged revision " << staged;
  }
  out << ", leader " << CellAt(fleet, "leader") << '\n';
  for (const nlohmann::json& zone : ListAt(fleet, "evacuated")) {
    out << "zone " << zone.get<std::string>() << " is evacuated\n";
  }
  Table table({"NODE", "ZONE", "SERVICE", "REVISION", "SINCE", "STAGED",
               "LEASE", "TARGET", "RUNNING", "QUEUED", "LIMIT", "SLOTS",
               "QUARANTINED"});
  size_t unreachable = 0;
  for (const nlohmann::json& node : ListAt(fleet, "nodes")) {
    unreachable += CellAt(node, "lease") == "yes" ? 0 : 1;
    table.Add(FleetRow(node, active));
  }
  table.Print(out);
  if (unreachable > 0) {
    out << unreachable << " nodes cannot be reached\n";
  }
}

// Prints the members of a JSON object as a table of keys and values.
void PrintObject(Session& session, const nlohmann::json& json) {
  Table table({"KEY", "VALUE"});
  for (const auto& [key, value] : json.items()) {
    // Wall-clock times are printed as dates; durations are left unchanged.
    const bool wall_time = key == "since_us" || key == "at_us";
    table.Add({key, wall_time ? FormatWallTime(NumberAt(json, key))
                              : CellAt(json, key)});
  }
  table.Print(session.out());
}

ExitCode PrintMembers(Session& session, const std::string& list) {
  const PageAnswer answer = session.FetchAny("/" + list);
  if (session.json()) {
    return PrintJson(session, answer.json);
  }
  Table table({"NODE", "REGION", "ZONE", "STATE", "SERVICE", "TARGET", "SLOTS",
               "MESH", "ADMIN"});
  for (const nlohmann::json& member : ListAt(answer.json, list)) {
    table.Add({CellAt(member, "id"), CellAt(member, "region"),
               CellAt(member, "zone"), CellAt(member, "state"),
               CellAt(member, "service"), CellAt(member, "target"),
               CellAt(member, "slots"), CellAt(member, "mesh"),
               CellAt(member, "admin")});
  }
  table.Print(session.out());
  return ExitCode::kOk;
}

// Prints the view of each keeper, then the members as known to the leader or,
// without one, to the first keeper that answered.
void PrintKeepers(Session& session, const std::vector<PageAnswer>& answers) {
  Table views({"KEEPER", "ROLE", "LEADER", "TERM", "COMMIT", "APPLIED"});
  const nlohmann::json* members = nullptr;
  for (const PageAnswer& answer : answers) {
    if (!answer.ok() || !answer.json.is_object()) {
      views.Add({world::ToString(answer.from), "no answer"});
      continue;
    }
    const std::string self = CellAt(answer.json, "self");
    const std::string leader = CellAt(answer.json, "leader");
    const bool leads = !self.empty() && self == leader;
    views.Add({self, leads ? "leader" : "follower", leader,
               CellAt(answer.json, "term"), CellAt(answer.json, "commit"),
               CellAt(answer.json, "applied")});
    members = members == nullptr || leads ? &answer.json : members;
  }
  views.Print(session.out());
  if (members == nullptr) {
    return;
  }
  Table table(
      {"MEMBER", "CONTROL", "VOTES", "LOG POSITION", "ALIVE", "REPLICA"});
  for (const nlohmann::json& member : ListAt(*members, "members")) {
    table.Add({CellAt(member, "id"), CellAt(member, "control"),
               CellAt(member, "voter"), CellAt(member, "match"),
               CellAt(member, "alive"), CellAt(member, "replica")});
  }
  session.out() << "\nmembers as " << CellAt(*members, "self")
                << " knows them\n";
  table.Print(session.out());
}

ExitCode ShowKeepers(Session& session) {
  const std::vector<PageAnswer> answers =
      session.FetchEach(session.options().admins, "GET", "/keepers");
  nlohmann::json views = nlohmann::json::array();
  std::string errors;
  bool refused = false;
  for (const PageAnswer& answer : answers) {
    if (answer.ok() && answer.json.is_object()) {
      views.push_back(answer.json);
    } else {
      refused = refused || answer.status != 0;
      errors += "\n  " + answer.ErrorMessage();
    }
  }
  if (views.empty()) {
    throw CommandError(refused ? ExitCode::kRefused : ExitCode::kUnreachable,
                       "no keeper answered:" + errors);
  }
  if (session.json()) {
    return PrintJson(session, {{"keepers", views}});
  }
  PrintKeepers(session, answers);
  return ExitCode::kOk;
}

// Sends a membership change to each keeper in turn until the leader accepts it.
ExitCode PostToKeepers(Session& session,
                       const std::string& page,
                       const std::string& check) {
  std::string errors;
  bool sent = false;
  for (const world::Endpoint& keeper : session.options().admins) {
    // Check first that the keeper can be reached: once the POST is sent, a lost
    // answer leaves the outcome unknown.
    if (session.Fetch(keeper, "GET", "/keepers", "").status == 0) {
      errors += "\n  " + world::ToString(keeper) + ": cannot be reached";
      continue;
    }
    sent = true;
    const PageAnswer answer = session.Fetch(keeper, "POST", page, "");
    if (answer.ok()) {
      session.out() << (session.json() ? ToPrettyJson(answer.json)
                                       : std::string("done"))
                    << '\n';
      return ExitCode::kOk;
    }
    if (answer.status == 0) {
      throw CommandError(
          ExitCode::kUnknown,
          "the outcome of the change is unknown: " + answer.ErrorMessage() +
              "\nto check it: ibisctl " + check);
    }
    errors += "\n  " + answer.ErrorMessage();
  }
  throw CommandError(sent ? ExitCode::kRefused : ExitCode::kUnreachable,
                     "no keeper accepted the change:" + errors);
}

ExitCode OrderZone(Session& session, const std::string& page) {
  const std::vector<std::string>& arguments = session.options().arguments;
  if (arguments.size() != 1) {
    throw CommandError(ExitCode::kUsage,
                       "usage: ibisctl " + session.options().command + " ZONE");
  }
  return PostToKeepers(
      session, page + "?zone=" + CheckQueryWord(arguments.front()), "status");
}

}  // namespace

ExitCode RunEvacuate(Session& session) {
  return OrderZone(session, "/zones/evacuate");
}

ExitCode RunRestore(Session& session) {
  return OrderZone(session, "/zones/restore");
}

ExitCode RunStatus(Session& session) {
  std::string errors;
  bool refused = false;
  for (const char* page : {"/fleet", "/status"}) {
    try {
      const PageAnswer answer = session.FetchAny(page);
      if (session.json()) {
        return PrintJson(session, answer.json);
      }
      if (answer.json.contains("nodes")) {
        PrintFleet(session, answer.json);
      } else {
        PrintObject(session, answer.json);
      }
      return ExitCode::kOk;
    } catch (const CommandError& error) {
      // Nodes do not serve /fleet, only their own /status.
      refused = refused || error.code() == ExitCode::kRefused;
      errors += std::string(errors.empty() ? "" : "\n") + error.what();
    }
  }
  throw CommandError(refused ? ExitCode::kRefused : ExitCode::kUnreachable,
                     errors);
}

ExitCode RunMembers(Session& session) {
  return PrintMembers(session, "members");
}

ExitCode RunTargets(Session& session) {
  return PrintMembers(session, "targets");
}

ExitCode RunKeepers(Session& session) {
  const std::vector<std::string>& arguments = session.options().arguments;
  if (arguments.empty()) {
    return ShowKeepers(session);
  }
  if (arguments.size() == 3 && arguments[0] == "add" &&
      world::ParseEndpoint(arguments[2])) {
    return PostToKeepers(session,
                         "/keepers/add?id=" + CheckQueryWord(arguments[1]) +
                             "&control=" + arguments[2],
                         "keepers");
  }
  if (arguments.size() == 2 && arguments[0] == "remove") {
    return PostToKeepers(session,
                         "/keepers/remove?id=" + CheckQueryWord(arguments[1]),
                         "keepers");
  }
  throw CommandError(ExitCode::kUsage,
                     "usage: ibisctl keepers [add ID IP:PORT | remove ID]");
}

std::vector<nlohmann::json> FetchNodes(Session& session) {
  std::string errors;
  bool refused = false;
  for (const auto& [page, list] :
       {std::pair("/members", "members"), std::pair("/fleet", "nodes")}) {
    try {
      return ListAt(session.FetchAny(page).json, list);
    } catch (const CommandError& error) {
      // Keepers do not serve /members, and nodes do not serve /fleet.
      refused = refused || error.code() == ExitCode::kRefused;
      errors += std::string(errors.empty() ? "" : "\n") + error.what();
    }
  }
  throw CommandError(refused ? ExitCode::kRefused : ExitCode::kUnreachable,
                     errors);
}

std::vector<world::Endpoint> NodeAdminEndpoints(Session& session) {
  std::vector<world::Endpoint> admins;
  for (const nlohmann::json& node : FetchNodes(session)) {
    const std::string state = CellAt(node, "state");
    const auto endpoint = world::ParseEndpoint(CellAt(node, "admin"));
    if (endpoint && state != "left" && state != "dead") {
      admins.push_back(*endpoint);
    }
  }
  return admins;
}

}  // namespace ibisvalve::ctl

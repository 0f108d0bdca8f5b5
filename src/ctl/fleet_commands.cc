#include "ctl/fleet_commands.h"

#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

// Keys of a node's status that have a column of their own, or say nothing to
// an operator who reads the table.
constexpr const char* kStatusColumns[] = {"target", "in_flight", "limit",
                                          "draining", "quarantined"};

ExitCode PrintJson(Session& session, const nlohmann::json& json) {
  session.out() << Pretty(json) << '\n';
  return ExitCode::kOk;
}

void PrintFleet(Session& session, const nlohmann::json& fleet) {
  std::ostream& out = session.out();
  out << "active revision " << CellAt(fleet, "active") << ", leader "
      << CellAt(fleet, "leader") << '\n';
  std::vector<std::string> headings = {"NODE",   "ZONE",  "SERVICE", "REVISION",
                                       "STAGED", "SINCE", "LEASE"};
  for (const char* key : kStatusColumns) {
    std::string heading = key;
    for (char& letter : heading) {
      letter = letter == '_' ? ' ' : static_cast<char>(std::toupper(letter));
    }
    headings.push_back(heading);
  }
  Table table(headings);
  for (const nlohmann::json& node : ListAt(fleet, "nodes")) {
    const std::string staged = CellAt(node, "staged");
    std::vector<std::string> row = {
        CellAt(node, "id"),
        CellAt(node, "zone"),
        CellAt(node, "service"),
        CellAt(node, "revision"),
        staged == "0" ? "" : staged,
        FormatWallTime(NumberAt(node, "since_us")),
        CellAt(node, "lease") == "yes" ? "held" : "UNREACHABLE"};
    const nlohmann::json status =
        node.contains("status") ? node["status"] : nlohmann::json();
    for (const char* key : kStatusColumns) {
      row.push_back(CellAt(status, key));
    }
    table.Add(row);
  }
  table.Print(out);
}

// Prints one object as "key: value" lines.
void PrintObject(Session& session, const nlohmann::json& json) {
  Table table({"KEY", "VALUE"});
  for (const auto& [key, value] : json.items()) {
    // Times since 1970 are for reading; spans of time stay as they are.
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

void PrintKeepers(Session& session, const nlohmann::json& json) {
  const std::vector<nlohmann::json> keepers = ListAt(json, "keepers");
  // The columns are whatever the keepers tell, the id first.
  std::vector<std::string> keys = {"id"};
  for (const nlohmann::json& keeper : keepers) {
    for (const auto& [key, value] : keeper.items()) {
      if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
        keys.push_back(key);
      }
    }
  }
  Table table(keys);
  for (const nlohmann::json& keeper : keepers) {
    std::vector<std::string> row;
    row.reserve(keys.size());
    for (const std::string& key : keys) {
      row.push_back(CellAt(keeper, key));
    }
    table.Add(row);
  }
  table.Print(session.out());
}

// Sends a change of the set of keepers to each keeper in turn until one, the
// leader, takes it.
ExitCode ChangeKeepers(Session& session, const std::string& page) {
  std::string faults;
  bool sent = false;
  for (const world::Endpoint& keeper : session.options().admins) {
    // A page that can be read shows that the keeper is there; from the POST
    // on, a lost answer leaves the outcome open.
    if (session.Fetch(keeper, "GET", "/keepers", "").status == 0) {
      faults += "\n  " + world::ToString(keeper) + ": cannot be reached";
      continue;
    }
    sent = true;
    const PageAnswer answer = session.Fetch(keeper, "POST", page, "");
    if (answer.ok()) {
      session.out() << (session.json() ? Pretty(answer.json)
                                       : std::string("done"))
                    << '\n';
      return ExitCode::kOk;
    }
    if (answer.status == 0) {
      throw CommandError(
          ExitCode::kUnknown,
          "it is not known what became of it: " + answer.Fault() +
              "\nread back with: ibisctl keepers");
    }
    faults += "\n  " + answer.Fault();
  }
  throw CommandError(sent ? ExitCode::kRefused : ExitCode::kUnreachable,
                     "no keeper took the change:" + faults);
}

}  // namespace

ExitCode RunStatus(Session& session) {
  std::string faults;
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
      // A node serves no /fleet, but its own /status.
      refused = refused || error.code() == ExitCode::kRefused;
      faults += std::string(faults.empty() ? "" : "\n") + error.what();
    }
  }
  throw CommandError(refused ? ExitCode::kRefused : ExitCode::kUnreachable,
                     faults);
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
    const PageAnswer answer = session.FetchAny("/keepers");
    if (session.json()) {
      return PrintJson(session, answer.json);
    }
    PrintKeepers(session, answer.json);
    return ExitCode::kOk;
  }
  if (arguments.size() == 3 && arguments[0] == "add" &&
      world::ParseEndpoint(arguments[2])) {
    return ChangeKeepers(session,
                         "/keepers/add?id=" + CheckedWord(arguments[1]) +
                             "&control=" + arguments[2]);
  }
  if (arguments.size() == 2 && arguments[0] == "remove") {
    return ChangeKeepers(session,
                         "/keepers/remove?id=" + CheckedWord(arguments[1]));
  }
  throw CommandError(ExitCode::kUsage,
                     "write: keepers, keepers add ID IP:PORT, or keepers "
                     "remove ID");
}

std::vector<world::Endpoint> NodeAdmins(Session& session) {
  const PageAnswer answer = session.FetchAny("/members");
  std::vector<world::Endpoint> admins;
  for (const nlohmann::json& member : ListAt(answer.json, "members")) {
    const std::string state = CellAt(member, "state");
    const auto endpoint = world::ParseEndpoint(CellAt(member, "admin"));
    if (endpoint && state != "left" && state != "dead") {
      admins.push_back(*endpoint);
    }
  }
  return admins;
}

}  // namespace ibisvalve::ctl

#include "ctl/revision_commands.h"

#include "config/config.h"
#include "ctl/files.h"
#include "ctl/line_diff.h"
#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

Revision ActiveRevision(Session& session) {
  return Revision(NumberAt(session.FetchAny("/fleet").json, "active"));
}

// Returns the text of a revision. The page is YAML, so FetchAny does not fit.
std::string FetchRevision(Session& session, Revision revision) {
  std::string faults;
  bool refused = false;
  for (const world::Endpoint& server : session.options().admins) {
    const PageAnswer answer = session.Fetch(
        server, "GET", "/show?revision=" + std::to_string(revision.value), "");
    if (answer.ok()) {
      return answer.body;
    }
    refused = refused || answer.status != 0;
    faults += "\n  " + answer.Fault();
  }
  throw CommandError(refused ? ExitCode::kRefused : ExitCode::kUnreachable,
                     "revision " + std::to_string(revision.value) +
                         " could not be had:" + faults);
}

std::string ActiveText(Session& session) {
  const Revision active = ActiveRevision(session);
  if (active == Revision()) {
    throw CommandError(ExitCode::kRefused,
                       "no configuration file is in force yet");
  }
  return FetchRevision(session, active);
}

// Returns the text that an argument of `diff` names.
std::string TextOf(Session& session, const std::string& argument) {
  if (argument == "active") {
    return ActiveText(session);
  }
  const std::optional<uint64_t> number = config::ParseUnsigned(argument);
  return number ? FetchRevision(session, Revision(*number))
                : ReadFile(argument);
}

}  // namespace

ExitCode RunShow(Session& session) {
  const std::optional<Revision>& revision = session.options().revision;
  const std::string text =
      revision ? FetchRevision(session, *revision) : ActiveText(session);
  if (session.json()) {
    session.out() << Pretty({{"text", text}}) << '\n';
  } else {
    session.out() << text;
  }
  return ExitCode::kOk;
}

ExitCode RunHistory(Session& session) {
  const PageAnswer answer = session.FetchAny("/history");
  if (session.json()) {
    session.out() << Pretty(answer.json) << '\n';
    return ExitCode::kOk;
  }
  Table table({"REVISION", "STATE", "AT", "DIGEST", "CHANGE"});
  for (const nlohmann::json& entry : ListAt(answer.json, "revisions")) {
    table.Add({CellAt(entry, "revision"), CellAt(entry, "state"),
               FormatWallTime(NumberAt(entry, "at_us")),
               CellAt(entry, "digest"), CellAt(entry, "change")});
  }
  table.Print(session.out());
  return ExitCode::kOk;
}

ExitCode RunDiff(Session& session) {
  const std::vector<std::string>& arguments = session.options().arguments;
  if (arguments.empty() || arguments.size() > 2) {
    throw CommandError(ExitCode::kUsage,
                       "diff takes one or two of: a revision, active, a file");
  }
  // With one argument, the active file is what it would replace.
  const bool one = arguments.size() == 1;
  const std::string before =
      one ? ActiveText(session) : TextOf(session, arguments[0]);
  const std::string after = TextOf(session, arguments.back());
  const std::string diff = DiffLines(before, after);
  if (session.json()) {
    session.out() << Pretty({{"same", diff.empty()}, {"diff", diff}}) << '\n';
  } else {
    session.out() << (diff.empty() ? "no difference\n" : diff);
  }
  return ExitCode::kOk;
}

}  // namespace ibisvalve::ctl

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

// Returns the configuration file of a revision. FetchAny cannot be used,
// because the page is YAML and not JSON.
std::string FetchRevision(Session& session, Revision revision) {
  std::string errors;
  bool refused = false;
  for (const world::Endpoint& server : session.options().admins) {
    const PageAnswer answer = session.Fetch(
        server, "GET", "/show?revision=" + std::to_string(revision.value), "");
    if (answer.ok()) {
      return answer.body;
    }
    refused = refused || answer.status != 0;
    errors += "\n  " + answer.ErrorMessage();
  }
  throw CommandError(refused ? ExitCode::kRefused : ExitCode::kUnreachable,
                     "revision " + std::to_string(revision.value) +
                         " could not be fetched:" + errors);
}

std::string ActiveText(Session& session) {
  const Revision active = ActiveRevision(session);
  if (active == Revision()) {
    throw CommandError(ExitCode::kRefused,
                       "no configuration file is in force yet");
  }
  return FetchRevision(session, active);
}

// Returns the text that an argument of `diff` refers to.
std::string ResolveText(Session& session, const std::string& argument) {
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
    session.out() << ToPrettyJson({{"text", text}}) << '\n';
  } else {
    session.out() << text;
  }
  return ExitCode::kOk;
}

ExitCode RunHistory(Session& session) {
  const PageAnswer answer = session.FetchAny("/history");
  if (session.json()) {
    session.out() << ToPrettyJson(answer.json) << '\n';
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
    throw CommandError(
        ExitCode::kUsage,
        "diff expects one or two of: a revision, active, a file");
  }
  // With one argument, compare it with the active file that it would replace.
  const bool one = arguments.size() == 1;
  const std::string before =
      one ? ActiveText(session) : ResolveText(session, arguments[0]);
  const std::string after = ResolveText(session, arguments.back());
  const std::string diff = DiffLines(before, after);
  if (session.json()) {
    session.out() << ToPrettyJson({{"same", diff.empty()}, {"diff", diff}})
                  << '\n';
  } else {
    session.out() << (diff.empty() ? "no difference\n" : diff);
  }
  return ExitCode::kOk;
}

}  // namespace ibisvalve::ctl

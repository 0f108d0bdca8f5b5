#include "ctl/commands.h"

#include <algorithm>
#include <exception>
#include <iterator>

#include "config/config.h"
#include "ctl/apply.h"
#include "ctl/burn_command.h"
#include "ctl/fleet_commands.h"
#include "ctl/node_commands.h"
#include "ctl/revision_commands.h"
#include "ctl/session.h"
#include "ctl/validate.h"

namespace ibisvalve::ctl {
namespace {

struct Command {
  std::string name;
  std::string arguments;
  std::string summary;
  std::string details;
  ExitCode (*run)(Session& session);
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"validate", "FILE...",
       "Check configuration files or settings; needs no daemon.",
       "Prints every error with its file, line, column and path, and advice "
       "on\n"
       "how to fix it. Exits with 2 if there are any.\n",
       RunValidate},
      {"apply", "FILE",
       "Put a complete configuration file in force on every host.",
       "Prints the change's id first. Sends the same change again, also to "
       "the\nnext keeper, when an answer is lost. Waits until the file is in "
       "force\neverywhere or withdrawn.\n"
       "  --change ID   resend an earlier change under its id\n"
       "  --base N      the revision that the file is based on; by default "
       "the\n"
       "                active one. Refused when another is active by then.\n"
       "  --nowait      return once the file is staged\n",
       RunApply},
      {"show", "", "Print the active configuration file.",
       "  --revision N  print that revision instead\n", RunShow},
      {"history", "", "List the revisions and the changes that made them.", "",
       RunHistory},
      {"diff", "A [B]", "Compare two configuration files.",
       "A and B are each a revision number, \"active\" or a file name. With A\n"
       "only, the active file is compared with A.\n",
       RunDiff},
      {"status", "", "Show what each host is doing.",
       "Asked of a keeper: the revision in force on every node, since when, "
       "what\nis staged, and the nodes that cannot be reached. Asked of a "
       "node: its own\nstatus.\n",
       RunStatus},
      {"members", "", "List the nodes, as one node knows them.", "",
       RunMembers},
      {"targets", "", "List the targets, as one node knows them.", "",
       RunTargets},
      {"drain", "[NODE]", "Stop sending new requests to the target of a node.",
       "NODE is looked up in the member list of --admin. Without NODE, the "
       "node at\n--admin itself is drained. Requests in flight continue.\n",
       RunDrain},
      {"undrain", "[NODE]", "Undo drain.", "", RunUndrain},
      {"evacuate", "ZONE", "Send no more requests to the targets of a zone.",
       "Returns once all nodes that report to the keepers have the order. "
       "Requests\nthat run there continue. The order outlives restarts.\n",
       RunEvacuate},
      {"restore", "ZONE", "Undo evacuate.", "", RunRestore},
      {"keepers", "[add ID IP:PORT | remove ID]",
       "Show the keepers, or add or remove one.", "", RunKeepers},
      {"quarantine", "[lift FINGERPRINT]",
       "List requests that crashed targets, or lift a quarantine.", "",
       RunQuarantine},
      {"report", "burn",
       "Show how fast the services use up their error budgets.",
       "Merges the reports of all nodes that any --admin knows, and says "
       "which\n"
       "could not be read (then exits 1).\n"
       "  --html FILE   also write a page with plots\n",
       RunReport}};
  return commands;
}

const Command* FindCommand(const std::string& name) {
  const auto& commands = Commands();
  const auto found = std::find_if(
      commands.begin(), commands.end(),
      [&](const Command& command) { return command.name == name; });
  return found == commands.end() ? nullptr : &*found;
}

ExitCode ReportUnknownCommand(const std::string& name, std::ostream& err) {
  std::vector<std::string> known;
  for (const Command& command : Commands()) {
    known.push_back(command.name);
  }
  const auto nearest = config::NearestWord(name, known);
  err << (name.empty() ? "no command given"
                       : "unknown command \"" + name + "\"")
      << (nearest ? "; did you mean " + *nearest + "?" : "")
      << "\nsee: ibisctl --help\n";
  return ExitCode::kUsage;
}

constexpr char kCommonHelp[] =
    "Options:\n"
    "  --admin IP:PORT[,IP:PORT...]  admin addresses, tried in turn\n"
    "  --output table|json           output format\n"
    "  --timeout 30s                 time limit for the whole command\n"
    "\n"
    "Exit codes: 0 success; 1 refused or failed; 2 invalid command line or\n"
    "file; 3 no daemon could be reached, nothing was sent; 4 sent, but the\n"
    "outcome is unknown.\n";

}  // namespace

ExitCode RunCommand(net::EventLoop& loop,
                    const Options& options,
                    std::ostream& out,
                    std::ostream& err) {
  const Command* command = FindCommand(options.command);
  if (command == nullptr) {
    return ReportUnknownCommand(options.command, err);
  }
  Session session(loop, options, out, err);
  try {
    return command->run(session);
  } catch (const InvalidInput& error) {
    PrintFindings(session, error.findings());
    err << error.findings().size() << " errors; nothing was sent\n";
    return ExitCode::kUsage;
  } catch (const CommandError& error) {
    err << error.what() << '\n';
    return error.code();
  } catch (const std::exception& error) {
    err << "failed: " << error.what() << '\n';
    return ExitCode::kRefused;
  }
}

std::string HelpText(const std::string& command) {
  const Command* known = FindCommand(command);
  if (known != nullptr) {
    return "ibisctl " + known->name + " " + known->arguments + "\n\n" +
           known->summary + "\n" + known->details + "\n" + kCommonHelp;
  }
  std::string text = "ibisctl COMMAND [ARGUMENTS] [OPTIONS]\n\n";
  for (const Command& entry : Commands()) {
    std::string line = "  " + entry.name + " " + entry.arguments;
    constexpr size_t kSummaryColumn = 44;
    line.resize(std::max(line.size() + 1, kSummaryColumn), ' ');
    text += line + entry.summary + "\n";
  }
  return text + "\nFor details, see ibisctl COMMAND --help.\n\n" + kCommonHelp;
}

}  // namespace ibisvalve::ctl

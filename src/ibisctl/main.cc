#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "config/config.h"
#include "ctl/ctl.h"
#include "net/net.h"

DEFINE_string(admin,
              "127.0.0.1:9101",
              "admin addresses, comma-separated ip:port");
DEFINE_string(output, "table", "table or json");
DEFINE_string(timeout, "30s", "time limit for the whole command");
DEFINE_bool(wait, true, "apply: wait until the file is active or withdrawn");
DEFINE_string(change, "", "apply: id of the change");
DEFINE_string(base, "", "apply: revision that the file is based on");
DEFINE_string(revision, "", "show: revision to print");
DEFINE_string(html, "", "report: HTML file to write");

namespace ibisvalve {
namespace {

// Error in the command line.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

constexpr const char* kFlags[] = {"admin",    "output", "timeout",
                                  "wait",     "change", "base",
                                  "revision", "html",   "help"};

// Rejects unknown flags before gflags parses them, because gflags exits with
// code 1 instead of the documented kUsage.
void CheckFlagNames(const std::vector<std::string>& words) {
  for (const std::string& word : words) {
    if (word == "--") {
      return;
    }
    if (!word.starts_with('-') || word == "-") {
      continue;
    }
    std::string name = word.substr(word.find_first_not_of('-'));
    name = name.substr(0, name.find('='));
    bool known = name == "nowait";
    std::vector<std::string> names;
    for (const char* flag : kFlags) {
      known = known || name == flag;
      names.emplace_back(flag);
    }
    if (!known) {
      const auto nearest = config::NearestWord(name, names);
      throw UsageError("unknown option --" + name +
                       (nearest ? "; did you mean --" + *nearest + "?" : ""));
    }
  }
}

std::vector<world::Endpoint> ParseAdmins(const std::string& text) {
  std::vector<world::Endpoint> admins;
  std::istringstream stream(text);
  for (std::string word; std::getline(stream, word, ',');) {
    const auto endpoint = world::ParseEndpoint(word);
    if (!endpoint) {
      throw UsageError("--admin: \"" + word + "\" is not ip:port");
    }
    admins.push_back(*endpoint);
  }
  if (admins.empty()) {
    throw UsageError("--admin: expected at least one address");
  }
  return admins;
}

std::optional<Revision> ParseRevision(const std::string& flag,
                                      const std::string& text) {
  if (text.empty()) {
    return std::nullopt;
  }
  const std::optional<uint64_t> number = config::ParseUnsigned(text);
  if (!number) {
    throw UsageError("--" + flag + ": \"" + text +
                     "\" is not a revision number");
  }
  return Revision(*number);
}

ctl::OutputFormat ParseOutput(const std::string& text) {
  if (text != "table" && text != "json") {
    throw UsageError("--output: expected table or json");
  }
  return text == "json" ? ctl::OutputFormat::kJson : ctl::OutputFormat::kTable;
}

ctl::Options ParseOptions(const std::vector<std::string>& words) {
  ctl::Options options;
  if (!words.empty()) {
    options.command = words.front();
    options.arguments.assign(words.begin() + 1, words.end());
  }
  options.admins = ParseAdmins(FLAGS_admin);
  options.output = ParseOutput(FLAGS_output);
  const std::optional<Duration> timeout = config::ParseDuration(FLAGS_timeout);
  if (!timeout) {
    throw UsageError("--timeout: expected a duration such as 30s");
  }
  options.timeout = *timeout;
  options.call_timeout = std::min(options.call_timeout, options.timeout);
  options.wait = FLAGS_wait;
  options.change = FLAGS_change;
  options.base = ParseRevision("base", FLAGS_base);
  options.revision = ParseRevision("revision", FLAGS_revision);
  options.html = FLAGS_html;
  return options;
}

bool HelpRequested() {
  std::string help;
  return gflags::GetCommandLineOption("help", &help) && help == "true";
}

int Run(int argc, char** argv) {
  CheckFlagNames(std::vector<std::string>(argv + 1, argv + argc));
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  const bool named = !words.empty() && words.front() == "help";
  if (HelpRequested() || named || words.empty()) {
    const size_t command = named ? 1 : 0;
    std::cout << ctl::HelpText(words.size() > command ? words[command] : "");
    return words.empty() && !HelpRequested()
               ? static_cast<int>(ctl::ExitCode::kUsage)
               : 0;
  }
  const ctl::Options options = ParseOptions(words);
  net::EventLoop loop;
  return static_cast<int>(ctl::RunCommand(loop, options, std::cout, std::cerr));
}

}  // namespace
}  // namespace ibisvalve

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    return ibisvalve::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\nsee: ibisctl --help\n";
    return static_cast<int>(ibisvalve::ctl::ExitCode::kUsage);
  }
}

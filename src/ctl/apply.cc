#include "ctl/apply.h"

#include <algorithm>
#include <iterator>
#include <random>

#include "config/config.h"
#include "ctl/files.h"
#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

constexpr int kNotFound = 404;

// State of a change as reported by a keeper.
enum class ApplyStatus {
  kLost,         // no usable answer; the keeper may or may not have the change
  kAbsent,       // the keeper does not know the change
  kUnavailable,  // the keepers have no quorum at present
  kStaged,       // accepted, waiting for the nodes
  kActive,       // in force on all nodes
  kWithdrawn,
  kConflict,  // another change was accepted instead
  kStale,     // based on a revision that is no longer active
  kInvalid,
};

ApplyStatus ParseStatus(const PageAnswer& answer) {
  constexpr std::pair<const char*, ApplyStatus> kWords[] = {
      {"active", ApplyStatus::kActive},
      {"staged", ApplyStatus::kStaged},
      {"withdrawn", ApplyStatus::kWithdrawn},
      {"conflict", ApplyStatus::kConflict},
      {"stale", ApplyStatus::kStale},
      {"invalid", ApplyStatus::kInvalid},
      {"unavailable", ApplyStatus::kUnavailable}};
  const std::string word = CellAt(answer.json, "result");
  const auto* found =
      std::find_if(std::begin(kWords), std::end(kWords),
                   [&](const auto& known) { return word == known.first; });
  if (found != std::end(kWords)) {
    return found->second;
  }
  return answer.status == kNotFound ? ApplyStatus::kAbsent : ApplyStatus::kLost;
}

bool IsFinal(ApplyStatus status) {
  return status != ApplyStatus::kLost && status != ApplyStatus::kAbsent &&
         status != ApplyStatus::kUnavailable && status != ApplyStatus::kStaged;
}

ExitCode ExitCodeFor(ApplyStatus status) {
  switch (status) {
    case ApplyStatus::kActive:
      return ExitCode::kOk;
    case ApplyStatus::kInvalid:
      return ExitCode::kUsage;
    default:
      return ExitCode::kRefused;
  }
}

ChangeId NewChangeId() {
  std::random_device device;
  const uint64_t number = (uint64_t{device()} << 32U) | device();
  return ChangeId("change-" + ToHex(Digest(number)));
}

// Runs one `apply` command.
class Apply {
 public:
  explicit Apply(Session& session) : session_(session) {}

  ExitCode Run();

 private:
  void Prepare();
  Revision ActiveRevision();
  ApplyStatus SendOrPoll();
  bool HandlePending(ApplyStatus status);
  void PrintProgress(const std::string& line);
  ExitCode Finish(ApplyStatus status);
  ExitCode FinishTimedOut();
  void PrintTable(ApplyStatus status);
  void PrintJson(const std::string& result);

  Session& session_;
  std::string text_;
  ChangeId change_;
  Revision base_;
  size_t next_admin_ = 0;  // index of the admin address to ask next
  bool accepted_ = false;  // a keeper reported the change as staged
  PageAnswer last_answer_;
  std::string last_progress_;
};

ExitCode Apply::Run() {
  Prepare();
  const Time deadline = session_.Now() + session_.options().timeout;
  while (true) {
    const ApplyStatus status = SendOrPoll();
    if (IsFinal(status)) {
      return Finish(status);
    }
    if (HandlePending(status) && !session_.options().wait) {
      return Finish(status);
    }
    if (session_.Now() >= deadline) {
      return FinishTimedOut();
    }
    session_.WaitBeforeRetry();
  }
}

void Apply::Prepare() {
  const Options& options = session_.options();
  if (options.arguments.size() != 1) {
    throw CommandError(ExitCode::kUsage, "apply expects exactly one FILE");
  }
  const std::string& file = options.arguments.front();
  text_ = ReadFile(file);
  config::ParseFleet(text_, file);
  change_ = options.change.empty() ? NewChangeId()
                                   : ChangeId(CheckQueryWord(options.change));
  // Print the id before anything is sent, so that the operator can resend the
  // same change whatever happens afterwards.
  session_.err() << "change " << change_.value << '\n';
  const Revision active = ActiveRevision();
  base_ = options.base.value_or(active);
  session_.err() << "based on revision " << base_.value << '\n';
}

Revision Apply::ActiveRevision() {
  return Revision(NumberAt(session_.FetchAny("/fleet").json, "active"));
}

ApplyStatus Apply::SendOrPoll() {
  const auto& admins = session_.options().admins;
  const world::Endpoint& keeper = admins[next_admin_ % admins.size()];
  const std::string page = "/apply?change=" + change_.value;
  last_answer_ =
      accepted_ ? session_.Fetch(keeper, "GET", page, "")
                : session_.Fetch(keeper, "POST",
                                 page + "&base=" + std::to_string(base_.value),
                                 text_);
  return ParseStatus(last_answer_);
}

// Handles an answer that is not final. Returns whether the change is staged.
bool Apply::HandlePending(ApplyStatus status) {
  if (status == ApplyStatus::kStaged) {
    accepted_ = true;
    const std::vector<nlohmann::json> hosts =
        ListAt(last_answer_.json, "hosts");
    PrintProgress(
        "staged as revision " + CellAt(last_answer_.json, "revision") +
        (hosts.empty()
             ? ""
             : ", waiting for " + CellAt(last_answer_.json, "hosts")));
    return true;
  }
  // A keeper that does not know an accepted change lags behind or was
  // partitioned. Sending the change again is harmless, because it keeps its id,
  // and the next keeper may know it.
  accepted_ = accepted_ && status != ApplyStatus::kAbsent;
  ++next_admin_;
  PrintProgress("change not decided yet, retrying: " +
                last_answer_.ErrorMessage());
  return false;
}

void Apply::PrintProgress(const std::string& line) {
  if (line != last_progress_) {
    session_.err() << line << '\n';
    last_progress_ = line;
  }
}

ExitCode Apply::Finish(ApplyStatus status) {
  if (session_.json()) {
    PrintJson(CellAt(last_answer_.json, "result"));
  } else {
    PrintTable(status);
  }
  return status == ApplyStatus::kStaged ? ExitCode::kOk : ExitCodeFor(status);
}

ExitCode Apply::FinishTimedOut() {
  if (session_.json()) {
    PrintJson(accepted_ ? "staged" : "unknown");
  }
  session_.err()
      << (accepted_ ? "timed out: the change is staged and not yet active\n"
                    : "timed out: the outcome of the change is unknown\n")
      << "to resume: ibisctl apply --change " << change_.value << " --base "
      << base_.value << ' ' << session_.options().arguments.front() << '\n';
  return ExitCode::kUnknown;
}

void Apply::PrintTable(ApplyStatus status) {
  std::ostream& out = session_.out();
  const std::string revision = CellAt(last_answer_.json, "revision");
  const std::string active = CellAt(last_answer_.json, "active");
  const std::string digest = CellAt(last_answer_.json, "digest");
  const std::string detail = CellAt(last_answer_.json, "detail");
  switch (status) {
    case ApplyStatus::kActive:
      out << "in force everywhere as revision " << revision << " (" << digest
          << ")\n";
      break;
    case ApplyStatus::kStaged:
      out << "staged as revision " << revision << " (" << digest << ")\n";
      break;
    case ApplyStatus::kWithdrawn:
      out << "withdrawn; revision " << active << " stays in force\n";
      break;
    case ApplyStatus::kConflict:
      out << "refused: another change won as revision " << revision << " ("
          << digest << ")\n";
      break;
    case ApplyStatus::kStale:
      out << "refused: based on revision " << base_.value << ", but revision "
          << active << " is in force\n";
      break;
    default:
      out << "refused: the file is not valid\n";
      break;
  }
  if (!detail.empty()) {
    out << detail << '\n';
  }
  if (status == ApplyStatus::kWithdrawn) {
    for (const nlohmann::json& host : ListAt(last_answer_.json, "hosts")) {
      out << "  in the way: "
          << (host.is_string() ? host.get<std::string>() : host.dump()) << '\n';
    }
  }
}

void Apply::PrintJson(const std::string& result) {
  nlohmann::json json = last_answer_.json.is_object()
                            ? last_answer_.json
                            : nlohmann::json::object();
  json["result"] = result;
  json["change"] = change_.value;
  json["base"] = base_.value;
  session_.out() << ToPrettyJson(json) << '\n';
}

}  // namespace

ExitCode RunApply(Session& session) {
  return Apply(session).Run();
}

}  // namespace ibisvalve::ctl

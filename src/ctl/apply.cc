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
enum class Verdict {
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

Verdict VerdictOf(const PageAnswer& answer) {
  constexpr std::pair<const char*, Verdict> kWords[] = {
      {"active", Verdict::kActive},
      {"staged", Verdict::kStaged},
      {"withdrawn", Verdict::kWithdrawn},
      {"conflict", Verdict::kConflict},
      {"stale", Verdict::kStale},
      {"invalid", Verdict::kInvalid},
      {"unavailable", Verdict::kUnavailable}};
  const std::string word = CellAt(answer.json, "result");
  const auto* found =
      std::find_if(std::begin(kWords), std::end(kWords),
                   [&](const auto& known) { return word == known.first; });
  if (found != std::end(kWords)) {
    return found->second;
  }
  return answer.status == kNotFound ? Verdict::kAbsent : Verdict::kLost;
}

bool IsFinal(Verdict verdict) {
  return verdict != Verdict::kLost && verdict != Verdict::kAbsent &&
         verdict != Verdict::kUnavailable && verdict != Verdict::kStaged;
}

ExitCode CodeFor(Verdict verdict) {
  switch (verdict) {
    case Verdict::kActive:
      return ExitCode::kOk;
    case Verdict::kInvalid:
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
  Verdict Ask();
  bool Absorb(Verdict verdict);
  void Progress(const std::string& line);
  ExitCode Finish(Verdict verdict);
  ExitCode FinishUnknown();
  void PrintTable(Verdict verdict);
  void PrintJson(const std::string& result);

  Session& session_;
  std::string text_;
  ChangeId change_;
  Revision base_;
  size_t endpoint_ = 0;    // index of the admin address to ask next
  bool accepted_ = false;  // a keeper reported the change as staged
  PageAnswer last_;
  std::string progress_;
};

ExitCode Apply::Run() {
  Prepare();
  const Time deadline = session_.Now() + session_.options().timeout;
  while (true) {
    const Verdict verdict = Ask();
    if (IsFinal(verdict)) {
      return Finish(verdict);
    }
    if (Absorb(verdict) && !session_.options().wait) {
      return Finish(verdict);
    }
    if (session_.Now() >= deadline) {
      return FinishUnknown();
    }
    session_.Pause();
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
                                   : ChangeId(CheckedWord(options.change));
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

Verdict Apply::Ask() {
  const auto& admins = session_.options().admins;
  const world::Endpoint& keeper = admins[endpoint_ % admins.size()];
  const std::string page = "/apply?change=" + change_.value;
  last_ = accepted_ ? session_.Fetch(keeper, "GET", page, "")
                    : session_.Fetch(
                          keeper, "POST",
                          page + "&base=" + std::to_string(base_.value), text_);
  return VerdictOf(last_);
}

// Handles an answer that is not final. Returns whether the change is staged.
bool Apply::Absorb(Verdict verdict) {
  if (verdict == Verdict::kStaged) {
    accepted_ = true;
    const std::vector<nlohmann::json> hosts = ListAt(last_.json, "hosts");
    Progress(
        "staged as revision " + CellAt(last_.json, "revision") +
        (hosts.empty() ? "" : ", waiting for " + CellAt(last_.json, "hosts")));
    return true;
  }
  // A keeper that does not know an accepted change lags behind or was
  // partitioned. Sending the change again is harmless, because it keeps its id,
  // and the next keeper may know it.
  accepted_ = accepted_ && verdict != Verdict::kAbsent;
  ++endpoint_;
  Progress("change not decided yet, retrying: " + last_.Fault());
  return false;
}

void Apply::Progress(const std::string& line) {
  if (line != progress_) {
    session_.err() << line << '\n';
    progress_ = line;
  }
}

ExitCode Apply::Finish(Verdict verdict) {
  if (session_.json()) {
    PrintJson(CellAt(last_.json, "result"));
  } else {
    PrintTable(verdict);
  }
  return verdict == Verdict::kStaged ? ExitCode::kOk : CodeFor(verdict);
}

ExitCode Apply::FinishUnknown() {
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

void Apply::PrintTable(Verdict verdict) {
  std::ostream& out = session_.out();
  const std::string revision = CellAt(last_.json, "revision");
  const std::string active = CellAt(last_.json, "active");
  const std::string digest = CellAt(last_.json, "digest");
  const std::string detail = CellAt(last_.json, "detail");
  switch (verdict) {
    case Verdict::kActive:
      out << "in force everywhere as revision " << revision << " (" << digest
          << ")\n";
      break;
    case Verdict::kStaged:
      out << "staged as revision " << revision << " (" << digest << ")\n";
      break;
    case Verdict::kWithdrawn:
      out << "withdrawn; revision " << active << " stays in force\n";
      break;
    case Verdict::kConflict:
      out << "refused: another change won as revision " << revision << " ("
          << digest << ")\n";
      break;
    case Verdict::kStale:
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
  if (verdict == Verdict::kWithdrawn) {
    for (const nlohmann::json& host : ListAt(last_.json, "hosts")) {
      out << "  in the way: "
          << (host.is_string() ? host.get<std::string>() : host.dump()) << '\n';
    }
  }
}

void Apply::PrintJson(const std::string& result) {
  nlohmann::json json =
      last_.json.is_object() ? last_.json : nlohmann::json::object();
  json["result"] = result;
  json["change"] = change_.value;
  json["base"] = base_.value;
  session_.out() << Pretty(json) << '\n';
}

}  // namespace

ExitCode RunApply(Session& session) {
  return Apply(session).Run();
}

}  // namespace ibisvalve::ctl

#include "control/keeper_pages.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "control/events.h"

namespace ibisvalve::control {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

net::AdminResponse JsonResponse(int status, const Json& json) {
  return net::AdminResponse{
      status, "application/json",
      json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

net::AdminResponse ErrorResponse(int status, const std::string& detail) {
  return JsonResponse(status, {{"error", detail}});
}

int HttpStatusOf(ChangeResult result) {
  switch (result) {
    case ChangeResult::kConflict:
    case ChangeResult::kStale:
      return kConflict;
    case ChangeResult::kInvalid:
      return kBadRequest;
    case ChangeResult::kUnknown:
      return kNotFound;
    case ChangeResult::kUnavailable:
      return kUnavailable;
    default:
      return kOk;
  }
}

net::AdminResponse AnswerResponse(const ChangeAnswer& answer) {
  Json hosts = Json::array();
  for (const NodeId& host : answer.hosts) {
    hosts.push_back(host.value);
  }
  return JsonResponse(HttpStatusOf(answer.result),
                      {{"result", ToString(answer.result)},
                       {"revision", answer.revision.value},
                       {"digest", ToHex(answer.digest)},
                       {"active", answer.active.value},
                       {"detail", answer.detail},
                       {"hosts", hosts}});
}

std::string QueryParameter(const net::AdminRequest& request,
                           const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

std::optional<uint64_t> ParseNumber(const std::string& text) {
  constexpr size_t kMaxDigits = 18;
  const bool digits = !text.empty() && text.size() <= kMaxDigits &&
                      std::all_of(text.begin(), text.end(),
                                  [](char c) { return c >= '0' && c <= '9'; });
  return digits ? std::optional<uint64_t>(std::stoull(text)) : std::nullopt;
}

std::string KeeperIdOf(const wire::KeeperMembers& members, wire::ReplicaId id) {
  for (const wire::KeeperMember& member : members.members) {
    if (member.replica == id) {
      return member.id.value;
    }
  }
  return "";
}

Json StatusJson(const std::string& text) {
  if (text.empty() || JsonDepth(text) > kMaxJsonDepth) {
    return Json::object();
  }
  Json parsed = Json::parse(text, nullptr, false);
  return parsed.is_discarded() ? Json::object() : parsed;
}

}  // namespace

KeeperPages::KeeperPages(const Parts& parts,
                         Keeper::Checker checker,
                         Keeper::Editor editor,
                         OpenLink open_link)
    : parts_(parts),
      checker_(std::move(checker)),
      editor_(std::move(editor)),
      open_link_(std::move(open_link)) {}

void KeeperPages::Serve(net::AdminServer& admin) {
  const auto route = [this](const net::AdminRequest& request,
                            const net::AdminServer::Reply& reply) {
    Route(request, reply);
  };
  for (const char* path : {"/apply", "/history", "/show", "/fleet", "/zones"}) {
    admin.Handle("GET", path, route);
  }
  for (const char* path : {"/apply", "/keepers/add", "/keepers/remove",
                           "/zones/evacuate", "/zones/restore"}) {
    admin.Handle("POST", path, route);
  }
  // Answered by this keeper, so that operators can diagnose a group without a
  // leader.
  admin.Handle(
      "GET", "/keepers",
      [this](const net::AdminRequest&, const net::AdminServer::Reply& reply) {
        reply(KeepersPage());
      });
}

void KeeperPages::OnForward(
    const wire::ForwardRequest& forward,
    std::function<void(const wire::ForwardReply&)> reply) {
  const net::AdminRequest request{forward.method,
                                  forward.path,
                                  {forward.query.begin(), forward.query.end()},
                                  forward.body};
  HandleLocal(request, [this, reply = std::move(reply), call = forward.call](
                           const std::optional<net::AdminResponse>& answer) {
    wire::ForwardReply result;
    result.call = call;
    result.applied = parts_.driver.state().applied();
    if (answer) {
      result.status = answer->status;
      result.content_type = answer->content_type;
      result.body = answer->body;
    }
    reply(result);
  });
}

void KeeperPages::OnForwardReply(const wire::ForwardReply& reply) {
  if (reply.status == 0) {
    parts_.relay.Retry(reply.call);
    return;
  }
  const auto found = forwarded_.find(reply.call);
  if (found == forwarded_.end() || !parts_.relay.Finish(reply.call)) {
    return;
  }
  const auto answer = std::move(found->second);
  forwarded_.erase(found);
  // The leader may have carried out an order that has not arrived here yet.
  parts_.known.Learn(reply.applied);
  parts_.known.Refresh();
  answer({reply.status, reply.content_type, reply.body});
}

void KeeperPages::Route(const net::AdminRequest& request,
                        const net::AdminServer::Reply& reply) {
  if (parts_.driver.paused()) {
    reply(ErrorResponse(kUnavailable, "this keeper has no room on its disk"));
    return;
  }
  const auto stamped = std::make_shared<const net::AdminRequest>(
      WithKnownIndex(request, parts_.known.present()));
  LeaderRelay::Call call;
  call.local = [this, stamped, reply](uint64_t number) {
    HandleLocal(*stamped, [this, number, reply](
                              const std::optional<net::AdminResponse>& answer) {
      if (!answer) {
        parts_.relay.Retry(number);
      } else if (parts_.relay.Finish(number)) {
        forwarded_.erase(number);
        reply(*answer);
      }
    });
  };
  call.remote = [this, stamped, reply](uint64_t number,
                                       const world::Endpoint& leader) {
    forwarded_[number] = reply;
    parts_.links.Send(leader, wire::ForwardRequest{number,
                                                   stamped->method,
                                                   stamped->path,
                                                   {stamped->query.begin(),
                                                    stamped->query.end()},
                                                   stamped->body});
  };
  call.unavailable = [this, reply](uint64_t number) {
    forwarded_.erase(number);
    reply(AnswerResponse(ChangeAnswer{
        ChangeResult::kUnavailable,
        Revision(),
        Digest(),
        Revision(),
        "no majority of the keepers could be had; nothing is known",
        {}}));
  };
  parts_.relay.Start(std::move(call));
}

void KeeperPages::HandleLocal(const net::AdminRequest& request, Done done) {
  if (request.method == "POST" && request.path == "/apply") {
    Apply(request, std::move(done));
  } else if (request.path == "/change" && editor_) {
    Change(request, std::move(done));
  } else if (request.path == "/apply") {
    const ChangeId change(QueryParameter(request, "change"));
    AnswerAfterRead(done, [this, change] {
      return AnswerResponse(parts_.driver.state().config().AnswerTo(change));
    });
  } else if (request.path == "/history") {
    AnswerAfterRead(done, [this] { return History(); });
  } else if (request.path == "/show") {
    AnswerAfterRead(done, [this, request] { return Show(request); });
  } else if (request.path == "/fleet") {
    AnswerAfterRead(done, [this] { return FleetPage(); });
  } else if (ZonePages::Serves(request.path)) {
    parts_.zones.Handle(request, done);
  } else if (request.path == "/keepers/add") {
    AddKeeper(request, done);
  } else if (request.path == "/keepers/remove") {
    RemoveKeeper(request, done);
  } else {
    done(ErrorResponse(kNotFound, "no such page"));
  }
}

void KeeperPages::Apply(const net::AdminRequest& request, Done done) {
  const ChangeId change(QueryParameter(request, "change"));
  const std::optional<uint64_t> base =
      ParseNumber(QueryParameter(request, "base"));
  ChangeAnswer invalid{
      ChangeResult::kInvalid, Revision(), Digest(), Revision(), "", {}};
  if (change.empty() || !base) {
    invalid.detail = "change=ID and base=REVISION are required";
    done(AnswerResponse(invalid));
    return;
  }
  // A change that was accepted earlier keeps its answer, even if the checker of
  // this build rejects the file.
  const CheckedFile checked = checker_(request.body);
  const bool known = parts_.driver.state().config().AnswerTo(change).result !=
                     ChangeResult::kUnknown;
  if (!checked.findings.empty() && !known) {
    invalid.detail = checked.findings;
    done(AnswerResponse(invalid));
    return;
  }
  Propose(StageConfig{change, Revision(*base), request.body,
                      static_cast<uint64_t>(checked.lease.count()),
                      WallMicros(), checked.activate_immediately, false},
          std::move(done));
}

void KeeperPages::Propose(const StageConfig& stage, Done done) {
  parts_.driver.Propose(stage, [this, done = std::move(done)](
                                   const std::optional<CommandResult>& result) {
    if (result) {
      AnswerInForce(std::get<ChangeAnswer>(*result), done);
    } else {
      done(std::nullopt);
    }
  });
}

// Answers a change. One that is active is answered once the nodes have it: an
// acknowledgement promises that the change is in force.
void KeeperPages::AnswerInForce(const ChangeAnswer& answer, Done done) {
  if (answer.result != ChangeResult::kActive) {
    done(AnswerResponse(answer));
    return;
  }
  parts_.coordinator.AwaitPropagation(
      answer.revision, [answer, done = std::move(done)](bool leads) {
        if (leads) {
          done(AnswerResponse(answer));
        } else {
          done(std::nullopt);
        }
      });
}

// A refusal must take every accepted change into account, so a quorum confirms
// the state before it is read.
void KeeperPages::Change(const net::AdminRequest& request, Done done) {
  parts_.driver.Read([this, request, done = std::move(done)](bool confirmed) {
    if (confirmed) {
      DecideChange(request, done);
    } else {
      done(std::nullopt);
    }
  });
}

void KeeperPages::DecideChange(const net::AdminRequest& request, Done done) {
  const std::string operation = QueryParameter(request, "operation");
  const ChangeId change(operation + "-" + ToHex(DigestOf(request.body)) + "-" +
                        std::to_string(request.body.size()));
  const ConfigHistory& config = parts_.driver.state().config();
  ChangeAnswer answer = config.AnswerTo(change);
  if (answer.result == ChangeResult::kActive ||
      answer.result == ChangeResult::kStaged) {
    AnswerInForce(answer, std::move(done));
    return;
  }
  const ConfigRecord* active = config.active();
  const EditedFile edited =
      editor_(active == nullptr ? "" : active->text, operation, request.body);
  answer = {ChangeResult::kInvalid, Revision(), Digest(), Revision(),
            edited.detail,          {}};
  if (active != nullptr) {
    answer.active = answer.revision = active->revision;
    answer.digest = active->digest;
  }
  if (edited.result == EditedFile::Result::kBaseMismatch) {
    answer.result = ChangeResult::kConflict;
  }
  CheckedFile checked;
  if (edited.result == EditedFile::Result::kEdited) {
    checked = checker_(edited.text);
    answer.detail = checked.findings;
  }
  if (edited.result != EditedFile::Result::kEdited ||
      !checked.findings.empty()) {
    LogEvent(kChangeRefused, {{"change", change.value},
                              {"result", ToString(answer.result)},
                              {"active", answer.active.value},
                              {"why", answer.detail}});
    done(AnswerResponse(answer));
    return;
  }
  Propose(StageConfig{change, answer.active, edited.text,
                      static_cast<uint64_t>(checked.lease.count()),
                      WallMicros(), checked.activate_immediately, true},
          std::move(done));
}

void KeeperPages::AnswerAfterRead(const Done& done,
                                  std::function<net::AdminResponse()> answer) {
  parts_.driver.Read([done, answer = std::move(answer)](bool confirmed) {
    if (confirmed) {
      done(answer());
    } else {
      done(std::nullopt);
    }
  });
}

net::AdminResponse KeeperPages::Show(const net::AdminRequest& request) const {
  const ConfigHistory& config = parts_.driver.state().config();
  const std::string text = QueryParameter(request, "revision");
  const std::optional<uint64_t> number = ParseNumber(text);
  if (!text.empty() && !number) {
    return ErrorResponse(kBadRequest, "revision must be a number");
  }
  const ConfigRecord* record =
      number ? config.Find(Revision(*number)) : config.active();
  if (record == nullptr) {
    return ErrorResponse(kNotFound, "no such revision");
  }
  if (record->text.empty()) {
    return ErrorResponse(kNotFound, "the text of this revision is too old");
  }
  return net::AdminResponse{kOk, "text/yaml", record->text};
}

net::AdminResponse KeeperPages::History() const {
  Json revisions = Json::array();
  for (const ConfigRecord& record : parts_.driver.state().config().history()) {
    revisions.push_back({{"revision", record.revision.value},
                         {"digest", ToHex(record.digest)},
                         {"change", record.change.value},
                         {"base", record.base.value},
                         {"state", ToString(record.state)},
                         {"at_us", record.at_us}});
  }
  return JsonResponse(kOk, {{"revisions", revisions}});
}

net::AdminResponse KeeperPages::FleetPage() const {
  const ReplicaDriver& driver = parts_.driver;
  const ConfigHistory& config = driver.state().config();
  const Time now = parts_.loop.Now();
  const uint64_t wall_us = WallMicros();
  Json nodes = Json::array();
  for (const auto& [key, session] : parts_.coordinator.tracker().sessions()) {
    const bool lease = now < session.lease_until;
    nodes.push_back({{"id", key.first.value},
                     {"incarnation", key.second.value},
                     {"zone", session.node.location.zone.value},
                     {"service", session.node.service.value},
                     {"admin", world::ToString(session.node.admin)},
                     {"revision", session.report.active.value},
                     {"staged", session.report.staged.value},
                     {"since_us", wall_us - static_cast<uint64_t>(
                                                (now - session.since).count())},
                     {"lease", lease},
                     {"status", StatusJson(session.status)}});
  }
  Json evacuated = Json::array();
  for (const ZoneName& zone : driver.state().zones().evacuated()) {
    evacuated.push_back(zone.value);
  }
  const ConfigRecord* active = config.active();
  const ConfigRecord* staged = config.staged();
  return JsonResponse(
      kOk, {{"leader", KeeperIdOf(driver.replica().members(), driver.self())},
            {"active", active == nullptr ? 0 : active->revision.value},
            {"staged", staged == nullptr ? 0 : staged->revision.value},
            {"evacuated", evacuated},
            {"nodes", nodes}});
}

net::AdminResponse KeeperPages::KeepersPage() const {
  const ReplicaDriver& driver = parts_.driver;
  const Replica& replica = driver.replica();
  Json members = Json::array();
  for (const wire::KeeperMember& member : replica.members().members) {
    const bool self = member.replica == driver.self();
    const auto peer = replica.peers().find(member.replica);
    const wire::KeeperHello* hello = parts_.links.HelloAt(member.control);
    uint64_t match = self ? replica.log().synced_index() : 0;
    if (peer != replica.peers().end()) {
      match = peer->second.match;
    }
    members.push_back({{"id", member.id.value},
                       {"control", world::ToString(member.control)},
                       {"replica", ToHex(Digest(member.replica.value))},
                       {"voter", member.voter},
                       {"match", match},
                       {"alive", self || (hello != nullptr &&
                                          hello->replica == member.replica)}});
  }
  return JsonResponse(
      kOk, {{"self", KeeperIdOf(replica.members(), driver.self())},
            {"replica", ToHex(Digest(driver.self().value))},
            {"leader", KeeperIdOf(replica.members(), replica.leader())},
            {"term", replica.term()},
            {"commit", replica.commit()},
            {"applied", driver.state().applied()},
            {"members", members}});
}

// Refuses an order about a keeper if it may have been sent before the last
// change of the members, so that a delayed order does not undo a newer one.
bool KeeperPages::IsSuperseded(const net::AdminRequest& request,
                               const Done& done) const {
  const uint64_t known = KnownIndexOf(request);
  if (parts_.driver.replica().log().members_index() <= known) {
    return false;
  }
  LogEvent(kKeeperOrderSuperseded, {{"page", request.path}, {"known", known}});
  done(ErrorResponse(kUnavailable,
                     "the keepers have changed in between; nothing was carried "
                     "out, send the order again if it still holds"));
  return true;
}

void KeeperPages::AddKeeper(const net::AdminRequest& request,
                            const Done& done) {
  const NodeId id(QueryParameter(request, "id"));
  const auto control = world::ParseEndpoint(QueryParameter(request, "control"));
  if (id.empty() || !control) {
    done(ErrorResponse(kBadRequest, "id=ID and control=IP:PORT are required"));
    return;
  }
  const wire::KeeperMembers& members = parts_.driver.replica().members();
  for (const wire::KeeperMember& member : members.members) {
    if (member.id == id && member.control == *control) {
      done(JsonResponse(kOk, {{"result", "member"}}));
      return;
    }
  }
  if (IsSuperseded(request, done)) {
    return;
  }
  open_link_(*control);
  const wire::KeeperHello* hello = parts_.links.HelloAt(*control);
  if (hello == nullptr) {
    done(std::nullopt);  // retried until the keeper answers
    return;
  }
  const bool foreign = hello->group.value != 0 && hello->group != members.group;
  if (hello->id != id || foreign) {
    done(ErrorResponse(kConflict, "the keeper at this endpoint has the id " +
                                      hello->id.value +
                                      " or belongs to another group"));
    return;
  }
  const auto next = WithLearner(members, *hello, *control);
  if (!next) {
    done(ErrorResponse(kConflict, "the id or the endpoint is already in use"));
    return;
  }
  ProposeMembers(*next, done);
}

void KeeperPages::RemoveKeeper(const net::AdminRequest& request,
                               const Done& done) {
  const NodeId id(QueryParameter(request, "id"));
  const auto next = WithoutMember(parts_.driver.replica().members(), id);
  if (!next) {
    done(ErrorResponse(kConflict,
                       "unknown keeper, or its removal would leave no voter"));
    return;
  }
  if (IsSuperseded(request, done)) {
    return;
  }
  ProposeMembers(*next, done);
}

void KeeperPages::ProposeMembers(const wire::KeeperMembers& members,
                                 const Done& done) {
  if (!parts_.driver.ProposeMembers(members)) {
    done(std::nullopt);  // another membership change is in progress
    return;
  }
  AnswerAfterRead(done, [] {
    return JsonResponse(kOk, {{"result", "accepted"}});
  });
}

}  // namespace ibisvalve::control

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "dataplane/caller_terms.h"
#include "platform/platform.h"

namespace ibisvalve::platform {
namespace {

using control::EditedFile;
using Json = nlohmann::json;

Json Route(const std::string& name, const std::string& service) {
  return {{"type", "routes"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"host", "jepu9.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", "idempotent"},
            {"timeoutS", 1.2},
            {"targetLatencyS", 0.5},
            {"priority", 2},
            {"service", service},
            {"maxAttempts", 2}}}};
}

Json Service(const std::string& name) {
  return {{"type", "services"},
          {"metadata", {{"name", name}}},
          {"spec", {{"healthPath", "/health"}, {"maxConnections", 220}}}};
}

Json State(const std::string& version, const std::string& base) {
  return {{"version", version},
          {"baseVersion", base},
          {"resources",
           {Route("a", "huvo"),
            Service("huvo"),
            {{"type", "limits"},
             {"metadata", Json::object()},
             {"spec",
              {{"maxHeaderBytes", 16384},
               {"maxBodyBytes", 67108864},
               {"headerTimeoutS", 3},
               {"idleTimeoutS", 15}}}}}}};
}

Json Workspace(const std::string& name, const Json& spec) {
  return {{"type", "tenants"}, {"metadata", {{"name", name}}}, {"spec", spec}};
}

// Returns the fleet of a state with the item `workspace` besides.
world::Fleet FleetWith(const Json& workspace) {
  Json state = State("00000007", "00000000");
  state["resources"].push_back(workspace);
  return ParseDesiredState(state.dump(), "state");
}

TEST(DesiredStateTest, ConvertsWorkspaces) {
  const world::Fleet fleet =
      FleetWith(Workspace("pulo", {{"apiKeys", {"k1", "k2"}},
                                   {"priority", 1},
                                   {"ratePerS", 250},
                                   {"burst", 100}}));
  ASSERT_EQ(fleet.workspaces->size(), 1U);
  const world::Workspace& workspace = fleet.workspaces->front();
  EXPECT_EQ(workspace.name, "pulo");
  EXPECT_EQ(workspace.keys, (std::vector<std::string>{"k1", "k2"}));
  EXPECT_EQ(workspace.priority, 1U);
  EXPECT_EQ(workspace.quota, (world::Quota{250, 100}));
  EXPECT_FALSE(fleet.routes->front().is_public);
  // A rate of 0, or none, is no limit.
  for (const Json& spec :
       {Json{{"apiKeys", {"k"}}, {"ratePerS", 0}, {"burst", 5}},
        Json{{"apiKeys", {"k"}}, {"burst", 5}}, Json{{"apiKeys", {"k"}}}}) {
    EXPECT_FALSE(FleetWith(Workspace("pulo", spec)).workspaces->front().quota);
  }
}

// Guards against workspaces that are accepted with keys or limits that make no
// sense.
TEST(DesiredStateTest, RefusesInvalidWorkspaces) {
  for (const Json& spec :
       {Json::object(), Json{{"apiKeys", "k"}}, Json{{"apiKeys", {1}}},
        Json{{"apiKeys", {""}}}, Json{{"apiKeys", {"k"}}, {"ratePerS", -1}},
        Json{{"apiKeys", {"k"}}, {"ratePerS", 1e308}},
        Json{{"apiKeys", {"k"}}, {"ratePerS", "fast"}},
        Json{{"apiKeys", {"k"}}, {"ratePerS", 1}, {"burst", -1}},
        Json{{"apiKeys", {"k"}}, {"priority", -1}}}) {
    EXPECT_THROW(FleetWith(Workspace("pulo", spec)), InvalidInput) << spec;
  }
}

// Guards against two workspaces with one key, and against a report that shows
// the secret.
TEST(DesiredStateTest, RefusesASharedKeyAndNamesBothPlaces) {
  Json state = State("00000007", "00000000");
  state["resources"].push_back(Workspace("a", {{"apiKeys", {"secret"}}}));
  state["resources"].push_back(Workspace("b", {{"apiKeys", {"x", "secret"}}}));
  try {
    ParseDesiredState(state.dump(), "state");
    ADD_FAILURE() << "accepted";
  } catch (const InvalidInput& error) {
    const std::string text = error.what();
    EXPECT_THAT(text, testing::HasSubstr("resources[3]"));
    EXPECT_THAT(text, testing::HasSubstr("resources[4].apiKeys[1]"));
    EXPECT_THAT(text, testing::Not(testing::HasSubstr("secret")));
  }
}

TEST(DesiredStateTest, ConvertsColdStartsAndLargeResponses) {
  Json state = State("00000007", "00000000");
  state["resources"][0]["spec"]["kind"] = "download";
  state["resources"][0]["spec"]["public"] = true;
  state["resources"][1]["spec"]["coldPerS"] = 13.0;
  state["resources"][1]["spec"]["coldStartS"] = 3;
  const world::Fleet fleet = ParseDesiredState(state.dump(), "state");
  EXPECT_EQ(fleet.routes->front().repeat, world::Repeat::kAllowed);
  EXPECT_TRUE(fleet.routes->front().is_public);
  EXPECT_EQ(fleet.services.front().cold,
            (world::ColdStart{13, std::chrono::seconds(3)}));
}

TEST(DesiredStateTest, ConvertsToFleet) {
  const world::Fleet fleet =
      ParseDesiredState(State("00000007", "00000000").dump(), "state");
  ASSERT_EQ(fleet.routes->size(), 1U);
  const world::Route& route = fleet.routes->front();
  EXPECT_EQ(route.host, "jepu9.example");
  EXPECT_EQ(route.repeat, world::Repeat::kAllowed);
  EXPECT_EQ(route.timeout, std::chrono::milliseconds(1200));
  EXPECT_EQ(route.objective, std::chrono::milliseconds(500));
  EXPECT_EQ(route.targets.front().service, ServiceName("huvo"));
  EXPECT_EQ(fleet.services.front().health_path, "/health");
  EXPECT_EQ(fleet.callers.idle_timeout, std::chrono::seconds(15));
  EXPECT_EQ(fleet.control.apply, world::ApplyRule::kMajority);
}

TEST(DesiredStateTest, ErrorsAreReportedWithTheirLocation) {
  const auto faults = [](const std::function<void(Json&)>& corrupt) {
    Json state = State("00000007", "00000000");
    corrupt(state["resources"][0]["spec"]);
    try {
      ParseDesiredState(state.dump(), "state");
    } catch (const InvalidInput& error) {
      return error.findings().front().place.path + " " +
             error.findings().front().problem;
    }
    return std::string();
  };
  EXPECT_EQ(faults([](Json&) {}), "");
  EXPECT_THAT(faults([](Json& spec) { spec["service"] = "gone"; }),
              testing::HasSubstr("unknown service gone"));
  EXPECT_THAT(faults([](Json& spec) { spec["timeoutS"] = 0; }),
              testing::HasSubstr("timeoutS"));
  EXPECT_THAT(faults([](Json& spec) { spec["targetLatencyS"] = 61.2; }),
              testing::HasSubstr("targetLatencyS"));
  EXPECT_THAT(faults([](Json& spec) { spec["maxAttempts"] = 0; }),
              testing::HasSubstr("maxAttempts"));
  EXPECT_THAT(faults([](Json& spec) { spec["pathPrefix"] = "a/"; }),
              testing::HasSubstr("pathPrefix"));
  EXPECT_THAT(
      faults([](Json& spec) {
        spec["weightedBackends"] = {{{"service", "huvo"}, {"weight", -1}}};
      }),
      testing::HasSubstr("weight below 0"));
  EXPECT_THROW(ParseDesiredState("{\"resources\":[", "state"), InvalidInput);
}

TEST(DesiredStateTest, ChangeMustNameActiveVersionAndHigherOne) {
  const std::string present = State("00000007", "00000000").dump();
  EXPECT_EQ(EditDesiredState("", kReplace, present).result,
            EditedFile::Result::kEdited);
  EXPECT_EQ(
      EditDesiredState(present, kReplace, State("00000009", "00000007").dump())
          .result,
      EditedFile::Result::kEdited);
  EXPECT_EQ(
      EditDesiredState(present, kReplace, State("00000009", "00000005").dump())
          .result,
      EditedFile::Result::kBaseMismatch);
  EXPECT_EQ(
      EditDesiredState(present, kReplace, State("00000007", "00000007").dump())
          .result,
      EditedFile::Result::kInvalid);
  const std::string cut = State("00000009", "00000007").dump().substr(0, 90);
  EXPECT_EQ(EditDesiredState(present, kReplace, cut).result,
            EditedFile::Result::kInvalid);
}

TEST(DesiredStateTest, PatchAffectsOnlyNamedItems) {
  const std::string present = State("00000007", "00000000").dump();
  Json moved = Route("a", "huvo");
  moved["spec"]["timeoutS"] = 3;
  const Json patch = {{"version", "00000009"},
                      {"baseVersion", "00000007"},
                      {"upsert", {{"resources", {moved, Route("b", "huvo")}}}},
                      {"remove", {{"routes", {"gone"}}}}};
  const EditedFile edited = EditDesiredState(present, kPatch, patch.dump());
  ASSERT_EQ(edited.result, EditedFile::Result::kEdited) << edited.detail;
  const Json state = Json::parse(edited.text);
  EXPECT_EQ(state["version"], "00000009");
  EXPECT_EQ(state["resources"].size(), 4U);
  EXPECT_EQ(state["resources"][0]["spec"]["timeoutS"], 3);
  const Json removal = {{"version", "0000000b"},
                        {"baseVersion", "00000009"},
                        {"remove", {{"routes", {"a"}}}}};
  const EditedFile after =
      EditDesiredState(edited.text, kPatch, removal.dump());
  EXPECT_EQ(Json::parse(after.text)["resources"].size(), 3U);
}

// Returns the present state after a patch that removes `names` of `type`.
EditedFile WithoutItems(const EditedFile& present,
                        const std::string& version,
                        const std::string& type,
                        const Json& names) {
  const Json patch = {{"version", version},
                      {"baseVersion", Json::parse(present.text)["version"]},
                      {"remove", {{type, names}}}};
  return EditDesiredState(present.text, kPatch, patch.dump());
}

// Returns why a request for a path of the route "a" is refused under `state`,
// or nothing if it is not.
std::optional<world::Reason> RefusalOf(const EditedFile& state,
                                       const std::string& host,
                                       const std::string& key) {
  const auto fleet = std::make_shared<const world::Fleet>(
      ParseDesiredState(state.text, "state"));
  dataplane::CallerRequest request;
  request.method = "GET";
  request.uri = "/a/1";
  request.headers = {{"Host", host}, {"Authorization", "Token " + key}};
  dataplane::CallerRefusal refusal;
  const auto terms = dataplane::ParseTerms(
      request, *fleet, policy::WorkspaceKeys(fleet, 7), Headers(),
      ServiceName("huvo"),
      [](const world::Route& route) { return route.targets.front().service; },
      refusal);
  return terms ? std::nullopt : std::optional(refusal.reason);
}

// After the last route had been removed, requests ran at the service that the
// first label of their host named.
TEST(DesiredStateTest, WithoutARouteLeftNoRequestIsAccepted) {
  const EditedFile present =
      EditDesiredState("", kReplace, State("00000007", "00000000").dump());
  const EditedFile emptied = WithoutItems(present, "00000009", "routes", {"a"});
  EXPECT_EQ(RefusalOf(present, "jepu9.example", ""), std::nullopt);
  EXPECT_EQ(RefusalOf(emptied, "jepu9.example", ""), world::Reason::kNoRoute);
  EXPECT_EQ(RefusalOf(emptied, "huvo.example", ""), world::Reason::kNoRoute);
}

// After the last tenant had been removed, requests with any key were accepted.
TEST(DesiredStateTest, WithoutATenantLeftNoKeyIsAccepted) {
  Json state = State("00000007", "00000000");
  state["resources"].push_back(Workspace("pulo", {{"apiKeys", {"k1"}}}));
  const EditedFile present = EditDesiredState("", kReplace, state.dump());
  EXPECT_EQ(RefusalOf(present, "jepu9.example", "k1"), std::nullopt);
  const EditedFile removed =
      WithoutItems(present, "00000009", "tenants", {"pulo"});
  // A later change of something else does not take that back.
  const EditedFile changed =
      WithoutItems(removed, "0000000b", "routes", {"gone"});
  const EditedFile replaced = EditDesiredState(
      changed.text, kReplace, State("0000000d", "0000000b").dump());
  for (const EditedFile& emptied : {removed, changed, replaced}) {
    for (const char* key : {"k1", "never-held"}) {
      EXPECT_EQ(RefusalOf(emptied, "jepu9.example", key),
                world::Reason::kUnauthorized);
    }
  }
}

// What is noted about emptied types is not part of what operators sent.
TEST(DesiredStateTest, APublishedStateIsWhatWasSent) {
  Json state = State("00000007", "00000000");
  state["resources"].push_back(Workspace("pulo", {{"apiKeys", {"k1"}}}));
  const EditedFile present = EditDesiredState("", kReplace, state.dump());
  EXPECT_EQ(Json::parse(PublishedState(present.text)), state);
  const Json next = State("00000009", "00000007");
  const EditedFile emptied =
      EditDesiredState(present.text, kReplace, next.dump());
  EXPECT_EQ(Json::parse(PublishedState(emptied.text)), next);
  // The note ends with the next tenant.
  state["version"] = "0000000b";
  state["baseVersion"] = "00000009";
  const EditedFile again =
      EditDesiredState(emptied.text, kReplace, state.dump());
  EXPECT_EQ(Json::parse(again.text), state);
}

// A deployment that never had a tenant serves requests without keys.
TEST(DesiredStateTest, WithoutTenantsNoKeyIsNeeded) {
  const EditedFile present =
      EditDesiredState("", kReplace, State("00000007", "00000000").dump());
  const EditedFile changed =
      WithoutItems(present, "00000009", "tenants", {"pulo"});
  EXPECT_EQ(RefusalOf(changed, "jepu9.example", "any"), std::nullopt);
  EXPECT_FALSE(ParseDesiredState(changed.text, "state").workspaces);
}

const LocalTarget kLocalTarget{ServiceName("huvo"), {"10.1.0.8", 8301}};
constexpr uint64_t kNowMs = 1'700'000'000'123;

// A keeper sends nothing while it edits the file. If editing takes longer than
// an election time-out, the leader is replaced, and its successor has to edit
// the same change again.
TEST(DesiredStateTest, EditsThousandsOfRoutesWithinElectionTimeout) {
  constexpr int kRoutes = 3000;
  constexpr auto kElectionTimeout = std::chrono::milliseconds(400);
  Json state = State("00000001", "00000000");
  Json patch = {{"version", "00000002"},
                {"baseVersion", "00000001"},
                {"upsert", {{"resources", Json::array()}}}};
  for (int i = 0; i < kRoutes; ++i) {
    state["resources"].push_back(Route("old" + std::to_string(i), "huvo"));
    patch["upsert"]["resources"].push_back(
        Route("new" + std::to_string(i), "huvo"));
  }
  const auto start = std::chrono::steady_clock::now();
  const EditedFile edited =
      EditDesiredState(state.dump(), "patch", patch.dump());
  EXPECT_LT(std::chrono::steady_clock::now() - start, kElectionTimeout);
  ASSERT_EQ(edited.result, EditedFile::Result::kEdited);
  EXPECT_EQ(ParseDesiredState(edited.text, "state").routes->size(),
            2 * kRoutes + 1U);
}

// Guards against numbers of a state that overflow a duration, or lose their
// upper half and become a limit of zero.
TEST(DesiredStateTest, NumbersOutOfRangeAreRefusedOrCapped) {
  const auto state = [](const std::string& objective,
                        const std::string& bytes) {
    return R"({"version":"00000001","resources":[
      {"type":"services","metadata":{"name":"huvo"},
       "spec":{"healthPath":"/h","maxConnections":)" +
           bytes + R"(}},
      {"type":"routes","metadata":{"name":"r"},"spec":{"host":"a.example",
       "pathPrefix":"/a/","kind":"idempotent","timeoutS":1,"targetLatencyS":)" +
           objective + R"(,"priority":)" + bytes + R"(,"service":"huvo",
       "maxAttempts":)" +
           bytes + R"(}},
      {"type":"limits","metadata":{},"spec":{"maxHeaderBytes":)" +
           bytes +
           R"(,"maxBodyBytes":1024,"headerTimeoutS":3,"idleTimeoutS":15}}]})";
  };
  EXPECT_THROW(ParseDesiredState(state("-1e300", "8"), "state"), InvalidInput);
  EXPECT_THROW(ParseDesiredState(state("1e300", "8"), "state"), InvalidInput);
  const world::Fleet fleet =
      ParseDesiredState(state("0.5", "4294967296"), "state");
  EXPECT_EQ(fleet.callers.header_bytes, uint32_t{INT32_MAX});
  EXPECT_EQ(fleet.services.front().limits.connections_per_target,
            uint32_t{INT32_MAX});
  EXPECT_EQ(fleet.routes->front().priority, uint32_t{INT32_MAX});
  EXPECT_EQ(fleet.routes->front().max_attempts, uint32_t{INT32_MAX});
}

// Guards against a change nested so deeply that storing it ends the keeper, and
// the next one to which it is sent.
TEST(DesiredStateTest, RefusesDeeplyNestedChanges) {
  constexpr size_t kDepth = 100'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string objects = [] {
    std::string text;
    for (size_t i = 0; i < kDepth; ++i) {
      text += R"({"a":)";
    }
    return text + "1" + std::string(kDepth, '}');
  }();
  const std::string versions =
      R"({"version":"00000002","baseVersion":"00000000",)";
  const std::string member = R"("resources":[],"x":)";
  std::vector<std::string> bodies = {nested};
  for (const std::string& value : {nested, objects}) {
    bodies.push_back(versions);
    bodies.back().append(member).append(value).append("}");
  }
  for (const std::string& body : bodies) {
    EXPECT_EQ(EditDesiredState("", kReplace, body).result,
              control::EditedFile::Result::kInvalid);
  }
  EXPECT_EQ(
      EditDesiredState("", kPatch,
                       versions + R"("upsert":{"resources":[)" + nested + "]}}")
          .result,
      control::EditedFile::Result::kInvalid);
  // Brackets in a text do not nest.
  EXPECT_EQ(EditDesiredState("", kReplace,
                             versions + R"("resources":[],"x":"\"[)" +
                                 std::string(kDepth, '[') + "\"}")
                .result,
            control::EditedFile::Result::kEdited);
}

// Guards against a stored state with deep nesting that no change can replace.
TEST(DesiredStateTest, ADeeplyNestedStateCanBeReplaced) {
  constexpr size_t kDepth = 100'000;
  const std::string present = R"({"version":"00000001","resources":[],"x":)" +
                              std::string(kDepth, '[') +
                              std::string(kDepth, ']') + "}";
  const std::string change =
      R"({"version":"00000002","baseVersion":"00000001","resources":[]})";
  EXPECT_EQ(EditDesiredState(present, kReplace, change).result,
            control::EditedFile::Result::kEdited);
  EXPECT_EQ(EditDesiredState(present, kPatch, change).result,
            control::EditedFile::Result::kInvalid);
}

TEST(HeartbeatTest, DecodesAllFields) {
  const auto announcement =
      ParseHeartbeat("i-7f", R"({"address":"10.1.0.8:8301","born":1700000000123,
      "info":{"service":"huvo","version":"v1","zone":"suva","slots":6},
      "status":{"state":"draining","sequence":4,"coldLeftS":1.5}})",
                     kLocalTarget, kNowMs);
  EXPECT_EQ(announcement.state, world::TargetState::kDraining);
  EXPECT_EQ(announcement.identity, "i-7f");
  EXPECT_EQ(announcement.slots, 6U);
  EXPECT_EQ(announcement.number, 4U);
  EXPECT_EQ(announcement.started_ms, 1700000000123U);
  EXPECT_EQ(announcement.cold_left, std::chrono::milliseconds(1500));
}

TEST(HeartbeatTest, RejectsOtherTargetsAndMalformedBodies) {
  const Json good = {
      {"address", "10.1.0.8:8301"},
      {"born", kNowMs},
      {"info", {{"service", "huvo"}, {"slots", 6}}},
      {"status", {{"state", "ready"}, {"sequence", 4}, {"coldLeftS", 0}}}};
  EXPECT_NO_THROW(ParseHeartbeat("i-7f", good.dump(), kLocalTarget, kNowMs));
  const auto refused = [&](const char* part, const char* key, Json value) {
    Json bad = good;
    if (std::string(key).empty()) {
      bad[part] = std::move(value);
    } else {
      bad[part][key] = std::move(value);
    }
    EXPECT_THROW(ParseHeartbeat("i-7f", bad.dump(), kLocalTarget, kNowMs),
                 InvalidInput)
        << bad;
  };
  refused("info", "service", "other");
  refused("info", "slots", "6");
  refused("info", "", 3);
  refused("status", "state", "sleeping");
  refused("status", "sequence", -1);
  refused("status", "coldLeftS", nullptr);
  refused("address", "", "10.1.0.9:8301");
  EXPECT_THROW(ParseHeartbeat("i-7f", "\xff\x01{", kLocalTarget, kNowMs),
               InvalidInput);
  EXPECT_THROW(ParseHeartbeat("", good.dump(), kLocalTarget, kNowMs),
               InvalidInput);
}

// Guards against an entry of another writer without a start, which takes the
// place of the worker: its own entries then count as those of an earlier run.
TEST(HeartbeatTest, RejectsAnEntryWithoutAStart) {
  const Json odd = {
      {"address", "10.1.0.8:8301"},
      {"info", {{"service", "huvo"}, {"slots", 6}}},
      {"status", {{"state", "ready"}, {"sequence", 4}, {"coldLeftS", 0}}}};
  EXPECT_THROW(ParseHeartbeat("i-7f", odd.dump(), kLocalTarget, kNowMs),
               InvalidInput);
}

// A deregistration without an id names no worker that could be remembered.
TEST(HeartbeatTest, RejectsADeregistrationWithoutAnId) {
  EXPECT_THROW(ParseDeregistration("", R"({"born":5})", kNowMs), InvalidInput);
  EXPECT_NO_THROW(ParseDeregistration("i-7f", R"({"born":5})", kNowMs));
}

// Guards against an entry with a number out of range that is taken, so that the
// entries after it count as late or its duration overflows.
TEST(HeartbeatTest, RejectsNumbersOutOfRange) {
  constexpr uint64_t kTwoDaysMs = 2ULL * 24 * 3600 * 1000;
  const Json good = {
      {"address", "10.1.0.8:8301"},
      {"born", kNowMs},
      {"info", {{"service", "huvo"}, {"slots", 6}}},
      {"status", {{"state", "ready"}, {"sequence", 4}, {"coldLeftS", 0}}}};
  EXPECT_NO_THROW(ParseHeartbeat("i-7f", good.dump(), kLocalTarget, kNowMs));
  const auto refused = [&](const char* path, const std::string& number) {
    Json bad = good;
    bad[Json::json_pointer(path)] = "NUMBER";
    std::string text = bad.dump();
    text.replace(text.find("\"NUMBER\""), 8, number);
    EXPECT_THROW(ParseHeartbeat("i-7f", text, kLocalTarget, kNowMs),
                 InvalidInput)
        << text;
  };
  for (const char* number : {"1e300", "-1e300", "1e400", "1e12", "-5"}) {
    refused("/status/coldLeftS", number);
  }
  for (const char* number :
       {"18446744073709551615", "9223372036854775807", "1e30", "-1"}) {
    refused("/status/sequence", number);
    refused("/born", number);
  }
  refused("/born", std::to_string(kNowMs + kTwoDaysMs));
  for (const char* number : {"18446744073709551616", "4294967296", "1e9"}) {
    refused("/info/slots", number);
  }
}

// Guards against an entry nested so deeply that reading it ends the process.
TEST(HeartbeatTest, RejectsDeeplyNestedEntries) {
  constexpr size_t kDepth = 1'000'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  EXPECT_THROW(ParseHeartbeat("i-7f", nested, kLocalTarget, kNowMs),
               InvalidInput);
  const std::string member =
      R"({"address":"10.1.0.8:8301","born":1700000000123,)"
      R"("info":{"service":"huvo","slots":6},)"
      R"("status":{"state":"ready","sequence":4,"coldLeftS":0},"x":)" +
      nested + "}";
  EXPECT_NO_THROW(ParseHeartbeat("i-7f", member, kLocalTarget, kNowMs));
}

TEST(HeadersTest, ParsesLoadWithAndWithoutSlowdown) {
  const auto parse = Headers().parse_load;
  EXPECT_EQ(parse("3,0,8"), (dataplane::TargetLoad{3, 0, 8, 1.0}));
  EXPECT_EQ(parse("3,1,8,250"), (dataplane::TargetLoad{3, 1, 8, 2.5}));
  EXPECT_FALSE(parse("3,1"));
  EXPECT_FALSE(parse("many"));
}

}  // namespace
}  // namespace ibisvalve::platform

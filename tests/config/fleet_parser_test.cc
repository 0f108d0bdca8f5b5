#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/config.h"
#include "config/source_file.h"

namespace ibisvalve::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Optional;
using testing::SizeIs;

std::vector<Finding> FindingsOf(const std::string& text) {
  try {
    ParseFleet(text, "fleet.yaml");
  } catch (const InvalidInput& error) {
    return error.findings();
  }
  return {};
}

// Returns "line:column path" for each finding.
std::vector<std::string> PlacesOf(const std::string& text) {
  std::vector<std::string> places;
  for (const Finding& finding : FindingsOf(text)) {
    places.push_back(std::to_string(finding.place.line) + ":" +
                     std::to_string(finding.place.column) + " " +
                     finding.place.path);
  }
  return places;
}

// Returns a valid fleet file with the item `service` in its list of services.
std::string FileWithService(const std::string& service) {
  return "ibisvalve: 1\nname: small\n"
         "regions: [{name: r, zones: [a, b]}]\n"
         "services:\n" +
         service;
}

TEST(FleetParserTest, ReadsTheExampleFiles) {
  const world::Fleet tavua =
      ParseFleet(ReadSourceFile("examples/tavua.yaml"), "tavua.yaml");
  ASSERT_THAT(tavua.regions, SizeIs(1));
  EXPECT_THAT(
      tavua.regions[0].zones,
      ElementsAre(ZoneName("suva"), ZoneName("nadi"), ZoneName("lautoka")));
  const world::Service* ledger =
      world::FindService(tavua, ServiceName("ledger"));
  ASSERT_NE(ledger, nullptr);
  EXPECT_EQ(world::TermsFor(*ledger, "POST", "/deposits"),
            (world::Terms{world::Repeat::kNever, world::KeyRule::kRequired,
                          seconds(2)}));
  EXPECT_EQ(world::TermsFor(*ledger, "GET", "/deposits/1"),
            (world::Terms{world::Repeat::kAllowed, world::KeyRule::kOptional,
                          seconds(1)}));
  EXPECT_EQ(ledger->key_retention, std::chrono::hours(7 * 24));
  EXPECT_EQ(ledger->objective, (world::Objective{0.999, milliseconds(500)}));

  const world::Fleet consorcio =
      ParseFleet(ReadSourceFile("examples/consorcio.yaml"), "consorcio.yaml");
  EXPECT_THAT(consorcio.links, SizeIs(6));
  EXPECT_EQ(consorcio.links[0].one_way, std::chrono::microseconds(1500));
  EXPECT_THAT(consorcio.services, SizeIs(3));
}

TEST(FleetParserTest, AbsentKeysHaveDefaults) {
  const world::Fleet fleet = ParseFleet(FileWithService("  - name: one\n"), "");
  ASSERT_THAT(fleet.services, SizeIs(1));
  world::Service expected;
  expected.name = ServiceName("one");
  EXPECT_EQ(fleet.services[0], expected);
  EXPECT_EQ(fleet.control, world::ControlRules{});
}

TEST(FleetParserTest, ReportsEveryErrorWithItsPlace) {
  const std::string text =
      "ibisvalve: 1\n"
      "name: ten\n"
      "regions:\n"
      "  - name: viti-levu\n"
      "    zones: [suva, nadi, suva]\n"  // 1: zone twice
      "links:\n"
      "  - {from: suva, to: nadii, one_way: 1ms}\n"  // 2: unknown zone
      "  - {from: suva, to: nadi, one_way: 1}\n"     // 3: no unit
      "services:\n"
      "  - name: ledger\n"
      "    dedline: 2s\n"  // 4: unknown key
      "    deadline: 1s\n"
      "    contracts:\n"
      "      - {methods: [POST], path: /a, repeat: never, deadline: 3s}\n"  // 5
      "      - {path: /b, repeat: allowed, key: required}\n"                // 6
      "      - {path: /c, repeat: never, retry: true}\n"                    // 7
      "    routing: {prefer_zone: [yes], spill_at: 140%}\n"  // 8, 9
      "    objective: {share: 99%, within: 2s}\n";           // 10
  EXPECT_THAT(PlacesOf(text),
              ElementsAre("5:25 regions[0].zones[2]", "7:22 links[0].to",
                          "8:37 links[1].one_way", "11:5 services[0].dedline",
                          "14:62 services[0].contracts[0].deadline",
                          "15:42 services[0].contracts[1].key",
                          "16:42 services[0].contracts[2].retry",
                          "17:28 services[0].routing.prefer_zone",
                          "17:45 services[0].routing.spill_at",
                          "18:37 services[0].objective.within"));
}

TEST(FleetParserTest, SaysWhatToWriteInstead) {
  const std::vector<Finding> findings =
      FindingsOf(FileWithService("  - name: one\n    dedline: 2s\n"));
  ASSERT_THAT(findings, SizeIs(1));
  EXPECT_EQ(ToString(findings[0]),
            "fleet.yaml:6:5: services[0].dedline: unknown key; write "
            "\"deadline\"");
}

TEST(FleetParserTest, SyntaxErrorsHaveTheirPlace) {
  const std::vector<Finding> findings =
      FindingsOf("ibisvalve: 1\nname: [a\nregions: x\n");
  ASSERT_THAT(findings, SizeIs(1));
  EXPECT_EQ(findings[0].place.line, 3);
  EXPECT_THAT(findings[0].problem, HasSubstr("not valid YAML"));
}

TEST(FleetParserTest, RejectsAnythingButOneMap) {
  for (const char* text : {"", "- a\n", "word", "a: 1\n---\nb: 2\n", ",",
                           "a: 1\n,", "]", "a: 1\n]\n"}) {
    EXPECT_THAT(FindingsOf(text), SizeIs(1)) << text;
  }
}

struct BadService {
  const char* text;
  const char* path;
};

// Lines that each add one error to an otherwise valid service, with the path at
// which the finding is expected.
const BadService kBadServices[] = {
    {"deadline: 250", "deadline"},
    {"deadline: 11m", "deadline"},
    {"deadline: -1s", "deadline"},
    {"deadline: 0.0001ms", "deadline"},
    {"deadline:", "deadline"},
    {"deadline: {a: 1}", "deadline"},
    {"name: two", "name"},
    {"contracts: {path: /}", "contracts"},
    {"contracts: [{path: /}]", "contracts[0]"},
    {"contracts: [{path: a, repeat: never}]", "contracts[0].path"},
    {"contracts: [{methods: [GTE], repeat: never}]", "contracts[0].methods[0]"},
    {"contracts: [{methods: [GET, GET], repeat: never}]",
     "contracts[0].methods[1]"},
    {"contracts: [{repeat: never, hedge: true}]", "contracts[0].hedge"},
    {"contracts: [{repeat: never}, {path: /a, repeat: allowed}]",
     "contracts[1]"},
    {"routing: {spill_at: 0.8}", "routing.spill_at"},
    {"routing: {shares: {a: 50%, c: 50%}}", "routing.shares.c"},
    {"routing: {shares: {a: 50%, b: 40%}}", "routing.shares"},
    {"retry: {max_attempts: 11}", "retry.max_attempts"},
    {"retry: {max_attempts: 2.5}", "retry.max_attempts"},
    {"retry: {budget: 0%, max_attempts: 3}", "retry.max_attempts"},
    {"retry: {max_attempts: 1, hedge_budget: 5%}", "retry.hedge_budget"},
    {"measuring: {probes_per_second: 1e400}", "measuring.probes_per_second"},
    {"limits: {request_body: 1000}", "limits.request_body"},
    {"limits: {request_body: 1.5B}", "limits.request_body"},
    {"limits: {queue: 2s}", "limits.queue"},
    {"objective: {share: 99%}", "objective"},
    {"cold: {per_second: 0, period: 3s}", "cold.per_second"},
    {"cold: {per_second: 5}", "cold"},
    {"public: maybe", "public"},
    {"objective: {share: 100%, within: 10ms}", "objective.share"}};

TEST(FleetParserTest, EachServiceErrorIsOneFinding) {
  for (const BadService& bad : kBadServices) {
    SCOPED_TRACE(bad.text);
    const std::vector<Finding> findings = FindingsOf(
        FileWithService(std::string("  - name: one\n    ") + bad.text + "\n"));
    ASSERT_THAT(findings, SizeIs(1));
    EXPECT_EQ(findings[0].place.path, std::string("services[0].") + bad.path);
    EXPECT_FALSE(findings[0].problem.empty());
    EXPECT_FALSE(findings[0].advice.empty());
  }
}

TEST(FleetParserTest, HedgingNeedsARequestThatMayBeRepeated) {
  EXPECT_THAT(PlacesOf(FileWithService("  - name: one\n"
                                       "    contracts: [{repeat: never}]\n"
                                       "    retry: {hedge_budget: 5%}\n")),
              ElementsAre("7:27 services[0].retry.hedge_budget"));
}

TEST(FleetParserTest, NamesAreUnique) {
  EXPECT_THAT(PlacesOf(FileWithService("  - name: one\n  - name: one\n")),
              ElementsAre("6:5 services[1]"));
}

std::string FileWithWorkspaces(const std::string& workspaces) {
  return FileWithService("  - name: one\n") + "workspaces:\n" + workspaces;
}

TEST(FleetParserTest, ReadsWorkspaces) {
  const world::Fleet fleet = ParseFleet(
      FileWithWorkspaces("  - name: north\n"
                         "    keys: [key-north-1, key-north-2]\n"
                         "    priority: 2\n"
                         "    quota: {per_second: 50, burst: 100}\n"),
      "");
  ASSERT_THAT(fleet.workspaces, Optional(SizeIs(1)));
  const world::Workspace& workspace = fleet.workspaces->front();
  EXPECT_EQ(workspace.keys.size(), 2U);
  EXPECT_EQ(workspace.priority, 2U);
  EXPECT_EQ(workspace.quota, (world::Quota{50, 100}));
  EXPECT_FALSE(workspace.regions);
}

// Guards against a list whose last entry was removed and which then allows
// everything, as if it were absent.
TEST(FleetParserTest, AnEmptyListIsNotAnAbsentOne) {
  EXPECT_FALSE(ParseFleet(FileWithService("  - name: one\n"), "").workspaces);
  EXPECT_THAT(
      ParseFleet(FileWithService("  - name: one\n") + "workspaces: []\n", "")
          .workspaces,
      Optional(IsEmpty()));
  const world::Fleet fleet =
      ParseFleet(FileWithWorkspaces(
                     "  - {name: north, keys: [key-north-1], regions: []}\n"),
                 "");
  EXPECT_THAT(fleet.workspaces->front().regions, Optional(IsEmpty()));
  const std::string contract =
      "  - name: one\n"
      "    contracts: [{methods: [], path: /, repeat: allowed}]\n";
  const world::Fleet emptied = ParseFleet(FileWithService(contract), "");
  EXPECT_EQ(world::TermsFor(emptied.services[0], "POST", "/").repeat,
            world::Repeat::kNever);
}

// Guards against a file that is accepted with a workspace that cannot work.
TEST(FleetParserTest, EachWorkspaceErrorIsOneFinding) {
  const std::string key = "keys: [key-north-1]";
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"keys: []", "keys"},
      {"keys: [short]", "keys[0]"},
      {"keys: [\"with space\"]", "keys[0]"},
      {"keys: [\"nul-\\0-inside\"]", "keys[0]"},
      {"keys: [\"caf\xc3\xa9-caf\xc3\xa9\"]", "keys[0]"},
      {"keys: [" + std::string(64 << 10, 'k') + "]", "keys[0]"},
      {"keys: [key-north-1, key-north-1]", "keys[1]"},
      {key + ", quota: {per_second: 0, burst: 1}", "quota.per_second"},
      {key + ", quota: {per_second: -1, burst: 1}", "quota.per_second"},
      {key + ", quota: {per_second: 1e308, burst: 1}", "quota.per_second"},
      {key + ", quota: {per_second: nan, burst: 1}", "quota.per_second"},
      {key + ", quota: {per_second: 5, burst: 0}", "quota.burst"},
      {key + ", quota: {burst: 5}", "quota"},
      {key + ", regions: [nowhere]", "regions[0]"}};
  for (const auto& [text, path] : bad) {
    SCOPED_TRACE(text.substr(0, 80));
    const auto findings =
        FindingsOf(FileWithWorkspaces("  - {name: north, " + text + "}\n"));
    ASSERT_THAT(findings, SizeIs(1));
    EXPECT_EQ(findings[0].place.path, "workspaces[0]." + path);
    EXPECT_EQ(findings[0].problem.find("key-north-1"), std::string::npos);
  }
}

// Guards against a file whose workspaces share a key; the finding names both
// places.
TEST(FleetParserTest, AKeyBelongsToOneWorkspace) {
  const auto findings =
      FindingsOf(FileWithWorkspaces("  - {name: north, keys: [shared-key]}\n"
                                    "  - {name: south, keys: [shared-key]}\n"));
  ASSERT_THAT(findings, SizeIs(1));
  EXPECT_EQ(findings[0].place.path, "workspaces[1].keys[0]");
  EXPECT_NE(findings[0].problem.find("workspaces[0].keys[0]"),
            std::string::npos);
}

// The largest fleet has this many workspaces.
TEST(FleetParserTest, ReadsTenThousandWorkspaces) {
  std::string text;
  for (int i = 0; i < 10'000; ++i) {
    const std::string number = std::to_string(i);
    text.append("  - {name: w").append(number);
    text.append(", keys: [key-of-").append(number).append("]}\n");
  }
  EXPECT_THAT(ParseFleet(FileWithWorkspaces(text), "").workspaces,
              Optional(SizeIs(10'000)));
}

TEST(FleetParserTest, LeaseIsAtMost15Seconds) {
  const std::string file = FileWithService("  - name: one\n");
  EXPECT_THAT(PlacesOf(file + "control: {lease: 15s}\n"), IsEmpty());
  EXPECT_THAT(PlacesOf(file + "control: {lease: 16s, isolated: reads}\n"),
              ElementsAre("6:18 control.lease", "6:33 control.isolated"));
}

}  // namespace
}  // namespace ibisvalve::config

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

std::vector<Candidate> MakeCandidates(size_t count) {
  std::vector<Candidate> candidates(count);
  for (size_t i = 0; i < count; ++i) {
    candidates[i].id = NodeId("node-" + std::to_string(i));
    candidates[i].zone = ZoneName(i % 3 == 0 ? "suva" : "nadi");
    candidates[i].same_zone = i % 3 == 0;
    candidates[i].slots = 20;
    candidates[i].hint_in_flight = static_cast<uint32_t>(i * 7 % 20);
    candidates[i].hint_limit = 20;
    candidates[i].hint_service_time = std::chrono::milliseconds(5);
    candidates[i].hint_time = kNow - std::chrono::milliseconds(i);
  }
  return candidates;
}

void Choose(benchmark::State& state, ChoiceKind kind) {
  const auto candidates = MakeCandidates(static_cast<size_t>(state.range(0)));
  AnyChooser chooser(kind, world::Routing{});
  Random random(1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(chooser.Choose(candidates, kNow, random));
  }
}
BENCHMARK_CAPTURE(Choose, weighed, ChoiceKind::kWeighed)
    ->Arg(6)
    ->Arg(13)
    ->Arg(24);
BENCHMARK_CAPTURE(Choose, two_stale, ChoiceKind::kTwoStale)->Arg(13);

void AdmitAndFinish(benchmark::State& state) {
  AdmissionSettings settings;
  settings.slots = 20;
  Admission admission(settings);
  Time now = kNow;
  AttemptId id{Incarnation(1), 0};
  for (auto _ : state) {
    ++id.counter;
    now += Duration(100);
    admission.Arrive(id, now + std::chrono::seconds(1), now);
    admission.Finish(id, std::chrono::milliseconds(5), RunResult::kSucceeded,
                     now);
  }
}
BENCHMARK(AdmitAndFinish);

void SubsetOfAThousand(benchmark::State& state) {
  std::vector<SubsetMember> members;
  members.reserve(static_cast<size_t>(state.range(0)));
  for (int i = 0; i < state.range(0); ++i) {
    members.push_back({NodeId("node-" + std::to_string(i)),
                       ZoneName(i % 3 == 0 ? "suva" : "nadi")});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        ChooseSubset(NodeId("me"), ZoneName("suva"), members, 20));
  }
}
BENCHMARK(SubsetOfAThousand)->Arg(1000);

}  // namespace
}  // namespace ibisvalve::policy

BENCHMARK_MAIN();

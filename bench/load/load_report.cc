#include "bench/load/load_report.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace ibisvalve::bench {
namespace {

constexpr double kMicrosPerMilli = 1e3;

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerMilli;
}

double Share(uint64_t part, uint64_t whole) {
  return static_cast<double>(part) /
         static_cast<double>(std::max<uint64_t>(whole, 1));
}

double PerSecond(uint64_t count, double seconds) {
  return seconds > 0 ? static_cast<double>(count) / seconds : 0;
}

}  // namespace

std::string ToJson(const LoadReport& report) {
  nlohmann::json reasons = nlohmann::json::object();
  for (const auto& [reason, count] : report.reasons) {
    reasons[reason] = count;
  }
  nlohmann::json statuses = nlohmann::json::object();
  for (const auto& [status, count] : report.statuses) {
    statuses[std::to_string(status)] = count;
  }
  const nlohmann::json json = {
      {"seconds", report.seconds},
      {"deadline_ms", Millis(report.deadline)},
      {"scheduled", report.scheduled},
      {"answered", report.answered},
      {"in_time", report.in_time},
      {"in_time_share", Share(report.in_time, report.scheduled)},
      {"goodput_per_s", PerSecond(report.in_time, report.seconds)},
      {"refused", report.refused},
      {"unknown", report.unknown},
      {"failed", report.failed},
      {"broken", report.broken},
      {"swapped", report.swapped},
      {"unfinished", report.unfinished},
      {"attempts", report.attempts},
      {"connections", report.connections},
      {"reasons", reasons},
      {"statuses", statuses},
      {"latency_ms",
       {{"mean", Millis(report.latency.mean())},
        {"p50", Millis(report.latency.ValueAtQuantile(0.5))},
        {"p90", Millis(report.latency.ValueAtQuantile(0.9))},
        {"p99", Millis(report.latency.ValueAtQuantile(0.99))},
        {"p999", Millis(report.latency.ValueAtQuantile(0.999))},
        {"max", Millis(report.latency.max())}}}};
  return json.dump();
}

std::string ToTable(const LoadReport& report) {
  std::string table;
  const auto line = [&](const char* name, const std::string& value) {
    std::string padded = name;
    constexpr size_t kNameWidth = 16;
    padded.resize(std::max(padded.size() + 1, kNameWidth), ' ');
    table += padded + value + "\n";
  };
  const auto number = [](double value) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", value);
    return std::string(text);
  };
  const auto millis = [&](double quantile) {
    return number(Millis(report.latency.ValueAtQuantile(quantile))) + " ms";
  };
  line("scheduled", std::to_string(report.scheduled));
  line("answered", std::to_string(report.answered));
  line("in time", std::to_string(report.in_time) + " (" +
                      number(100 * Share(report.in_time, report.scheduled)) +
                      " %)");
  line("goodput", number(PerSecond(report.in_time, report.seconds)) + " /s");
  line("refused", std::to_string(report.refused));
  line("unknown", std::to_string(report.unknown));
  line("failed", std::to_string(report.failed));
  line("broken", std::to_string(report.broken));
  line("swapped", std::to_string(report.swapped));
  line("unfinished", std::to_string(report.unfinished));
  line("median", millis(0.5));
  line("99 in 100", millis(0.99));
  line("999 in 1000", millis(0.999));
  line("longest", number(Millis(report.latency.max())) + " ms");
  for (const auto& [reason, count] : report.reasons) {
    line("reason", reason + " " + std::to_string(count));
  }
  return table;
}

}  // namespace ibisvalve::bench

#include "observe/metrics_text.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <sstream>

namespace ibisvalve::observe {
namespace {

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_';
}

// Returns `name` as a valid Prometheus metric or label name: replaces every
// character other than letters, digits and '_', and prepends '_' to an empty
// name or one that starts with a digit.
std::string CleanName(const std::string& name) {
  std::string clean = name;
  for (char& c : clean) {
    if (!IsNameCharacter(c)) {
      c = '_';
    }
  }
  if (clean.empty() || (clean.front() >= '0' && clean.front() <= '9')) {
    clean.insert(clean.begin(), '_');
  }
  return clean;
}

prometheus::ClientMetric ToClientMetric(const MetricSample& sample,
                                        prometheus::MetricType type) {
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : sample.labels) {
    prometheus::ClientMetric::Label label;
    label.name = CleanName(name);
    label.value = value;
    metric.label.push_back(std::move(label));
  }
  if (type == prometheus::MetricType::Counter) {
    metric.counter.value = sample.value;
  } else {
    metric.gauge.value = sample.value;
  }
  return metric;
}

}  // namespace

std::string RenderMetrics(const std::vector<MetricSample>& samples) {
  std::map<std::string, prometheus::MetricFamily> by_name;
  for (const MetricSample& sample : samples) {
    prometheus::MetricFamily& family = by_name[CleanName(sample.name)];
    if (family.metric.empty()) {
      family.name = CleanName(sample.name);
      family.type = sample.counter ? prometheus::MetricType::Counter
                                   : prometheus::MetricType::Gauge;
    }
    family.metric.push_back(ToClientMetric(sample, family.type));
  }
  std::vector<prometheus::MetricFamily> families;
  families.reserve(by_name.size());
  for (auto& [name, family] : by_name) {
    families.push_back(std::move(family));
  }
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, families);
  return text.str();
}

}  // namespace ibisvalve::observe

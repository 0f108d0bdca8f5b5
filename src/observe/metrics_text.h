#pragma once

#include <string>
#include <vector>

#include "base/base.h"

namespace ibisvalve::observe {

/// Returns `samples` in the text format of Prometheus. Samples of one name
/// form one family; characters that a name may not hold become '_'.
std::string RenderMetrics(const std::vector<MetricSample>& samples);

}  // namespace ibisvalve::observe

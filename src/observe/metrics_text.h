#pragma once

#include <string>
#include <vector>

#include "base/base.h"

namespace ibisvalve::observe {

/// Returns `samples` in the Prometheus text format. Samples with the same name
/// form one metric family. Characters that are not allowed in names are
/// replaced by '_'.
std::string RenderMetrics(const std::vector<MetricSample>& samples);

}  // namespace ibisvalve::observe

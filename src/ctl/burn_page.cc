#include "ctl/burn_page.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

#include "config/config.h"
#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

using observe::BurnWindow;
using observe::LatencyBuckets;
using observe::ServiceBurn;

constexpr char kStyle[] =
    "body{font:14px/1.4 system-ui,sans-serif;margin:2em auto;max-width:70em;"
    "padding:0 1em;color:#222;background:#fff}"
    "h1{font-size:1.5em}h2{border-top:1px solid #ccc;padding-top:1em}"
    "table{border-collapse:collapse;margin:1em 0}"
    "th,td{padding:.25em .7em;text-align:right;border-bottom:1px solid #ddd}"
    "th:first-child,td:first-child{text-align:left}"
    ".plots{display:flex;flex-wrap:wrap;gap:1.5em}figure{margin:0}"
    "figcaption{font-weight:600;margin-bottom:.3em}"
    "svg text{font:11px system-ui,sans-serif;fill:#444}"
    ".bad{color:#a40000;font-weight:600}.note{color:#666}";

// Size of every plot and its margins, in pixels.
constexpr double kWidth = 420;
constexpr double kHeight = 180;
constexpr double kLeft = 36;
constexpr double kBottom = 24;
constexpr double kTop = 14;
constexpr double kPlotWidth = kWidth - kLeft - 8;
constexpr double kPlotHeight = kHeight - kBottom - kTop;
constexpr char kGood[] = "#3a7d44";
constexpr char kWarning[] = "#d98e04";
constexpr char kBad[] = "#a40000";

std::string FormatFixed(double number, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", digits, number);
  return text;
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string Text(double x,
                 double y,
                 const std::string& anchor,
                 const std::string& text) {
  return "<text x=\"" + FormatFixed(x, 1) + "\" y=\"" + FormatFixed(y, 1) +
         "\" text-anchor=\"" + anchor + "\">" + Escape(text) + "</text>";
}

std::string Bar(double x,
                double width,
                double share,
                const std::string& colour,
                const std::string& title) {
  const double height = std::clamp(share, 0.0, 1.0) * kPlotHeight;
  return "<rect x=\"" + FormatFixed(x, 1) + "\" y=\"" +
         FormatFixed(kTop + kPlotHeight - height, 1) + "\" width=\"" +
         FormatFixed(width, 1) + "\" height=\"" + FormatFixed(height, 1) +
         "\" fill=\"" + colour + "\"><title>" + Escape(title) +
         "</title></rect>";
}

std::string HorizontalLine(double share, const std::string& label) {
  const double y = kTop + kPlotHeight * (1 - share);
  return "<line x1=\"" + FormatFixed(kLeft, 1) + "\" x2=\"" +
         FormatFixed(kLeft + kPlotWidth, 1) + "\" y1=\"" + FormatFixed(y, 1) +
         "\" y2=\"" + FormatFixed(y, 1) +
         "\" stroke=\"#999\" stroke-dasharray=\"3 3\"/>" +
         Text(kLeft - 4, y + 4, "end", label);
}

std::string Figure(const std::string& caption, const std::string& drawing) {
  return "<figure><figcaption>" + Escape(caption) +
         "</figcaption><svg role=\"img\" aria-label=\"" + Escape(caption) +
         "\" width=\"" + FormatFixed(kWidth, 0) + "\" height=\"" +
         FormatFixed(kHeight, 0) + "\" viewBox=\"0 0 " +
         FormatFixed(kWidth, 0) + " " + FormatFixed(kHeight, 0) +
         "\"><rect x=\"" + FormatFixed(kLeft, 1) + "\" y=\"" +
         FormatFixed(kTop, 1) + "\" width=\"" + FormatFixed(kPlotWidth, 1) +
         "\" height=\"" + FormatFixed(kPlotHeight, 1) +
         "\" fill=\"#f6f6f6\"/>" + drawing + "</svg></figure>\n";
}

const char* ColourForBurnRate(double burn_rate) {
  if (burn_rate <= 1) {
    return kGood;
  }
  constexpr double kCriticalBurnRate = 10;
  return burn_rate < kCriticalBurnRate ? kWarning : kBad;
}

// Returns a bar chart of the burn rate with one bar per window. The scale is
// linear up to 1 and logarithmic above, so that rates such as 0.5 and 50 can
// both be read.
std::string BurnPlot(const ServiceBurn& service) {
  const auto height = [](double rate) {
    constexpr double kMaxShownRate = 100;
    const double scaled =
        rate <= 1 ? rate : 1 + std::log10(std::min(rate, kMaxShownRate));
    return scaled /
           3;  // one third for 0 to 1 and one for each decade up to 100
  };
  std::string drawing = HorizontalLine(height(1), "1") +
                        HorizontalLine(height(10), "10") +
                        HorizontalLine(height(100), "100");
  const double step = kPlotWidth / static_cast<double>(std::max<size_t>(
                                       service.windows.size(), 1));
  double x = kLeft;
  for (const BurnWindow& window : service.windows) {
    const std::string label = FormatBurn(window, service.objective);
    const auto rate = observe::BurnRate(window.counts, *service.objective);
    if (rate) {
      drawing += Bar(x + step * 0.2, step * 0.6, height(*rate),
                     ColourForBurnRate(*rate), window.name + ": " + label);
    }
    drawing += Text(x + step / 2, kHeight - 8, "middle",
                    window.name + (rate ? " · " + label : " · no requests"));
    x += step;
  }
  return Figure("Burn rate by window (1 uses exactly the budget)", drawing);
}

// Returns a bar chart of the remaining error budget with one bar per window.
std::string BudgetPlot(const ServiceBurn& service) {
  std::string drawing = HorizontalLine(1, "100%") + HorizontalLine(0.5, "50%");
  const double step = kPlotWidth / static_cast<double>(std::max<size_t>(
                                       service.windows.size(), 1));
  double x = kLeft;
  for (const BurnWindow& window : service.windows) {
    const auto left = observe::BudgetLeft(window, *service.objective);
    const std::string label = FormatBudget(window, service.objective);
    if (left) {
      drawing += Bar(x + step * 0.2, step * 0.6, *left,
                     *left < 0.25 ? kBad : kGood, window.name + ": " + label);
    }
    drawing += Text(x + step / 2, kHeight - 8, "middle",
                    window.name + " · " + (left ? label : "no requests"));
    x += step;
  }
  return Figure("Error budget left by window", drawing);
}

// Returns the position of `latency` on the logarithmic axis, from 0 to 1.
double AxisPosition(Duration latency) {
  const double first = LatencyBuckets::kMinLog2Micros;
  const double last = LatencyBuckets::kMaxLog2Micros;
  const auto micros =
      static_cast<double>(std::max<Duration::rep>(latency.count(), 1));
  return std::clamp((std::log2(micros) - first) / (last - first), 0.0, 1.0);
}

std::string LatencyPlot(const ServiceBurn& service, const BurnWindow& window) {
  const auto& counts = window.counts.latencies.counts();
  const auto most = static_cast<double>(
      std::max<uint64_t>(*std::max_element(counts.begin(), counts.end()), 1));
  std::string drawing;
  const double width = kPlotWidth / static_cast<double>(counts.size());
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      drawing += Bar(kLeft + width * static_cast<double>(i), width,
                     static_cast<double>(counts[i]) / most, "#4472a8",
                     "up to " + FormatLatency(LatencyBuckets::UpperBound(i)) +
                         ": " + std::to_string(counts[i]));
    }
  }
  for (const int64_t millis : {1, 10, 100, 1'000, 10'000, 100'000}) {
    const Duration tick = std::chrono::milliseconds(millis);
    drawing += Text(kLeft + AxisPosition(tick) * kPlotWidth, kHeight - 8,
                    "middle", config::FormatDuration(tick));
  }
  if (service.objective) {
    const double x =
        kLeft + AxisPosition(service.objective->within) * kPlotWidth;
    drawing += "<line x1=\"" + FormatFixed(x, 1) + "\" x2=\"" +
               FormatFixed(x, 1) + "\" y1=\"" + FormatFixed(kTop, 1) +
               "\" y2=\"" + FormatFixed(kTop + kPlotHeight, 1) +
               "\" stroke=\"" + kBad + "\"/>" +
               Text(x, kTop - 3, "middle",
                    config::FormatDuration(service.objective->within));
  }
  return Figure("Latency of whole answers, last " + window.name, drawing);
}

std::string Row(const std::vector<std::string>& cells, const char* tag) {
  std::string row = "<tr>";
  for (const std::string& cell : cells) {
    row += std::string("<") + tag + ">" + Escape(cell.empty() ? "–" : cell) +
           "</" + tag + ">";
  }
  return row + "</tr>\n";
}

std::string WindowTable(const ServiceBurn& service) {
  std::string html =
      "<table>" + Row({"window", "requests", "in time", "late", "failed",
                       "refused", "unknown", "lost", "rejected", "burn rate",
                       "budget left", "p50", "p99", "p99.9"},
                      "th");
  for (const BurnWindow& window : service.windows) {
    std::vector<std::string> cells = {
        window.name, std::to_string(observe::CoveredRequests(window.counts))};
    for (size_t i = 0; i < observe::kEndings; ++i) {
      cells.push_back(std::to_string(window.counts.endings[i]));
    }
    cells.push_back(FormatBurn(window, service.objective));
    cells.push_back(FormatBudget(window, service.objective));
    for (const double quantile : {0.5, 0.99, 0.999}) {
      cells.push_back(
          FormatLatency(window.counts.latencies.Quantile(quantile)));
    }
    html += Row(cells, "td");
  }
  return html + "</table>\n";
}

std::string ReasonTable(const BurnWindow& window) {
  std::string rows;
  for (size_t i = 0; i < observe::kReasons; ++i) {
    if (window.counts.reasons[i] > 0) {
      rows += Row({world::ToString(static_cast<world::Reason>(i)),
                   std::to_string(window.counts.reasons[i])},
                  "td");
    }
  }
  return rows.empty()
             ? ""
             : "<table>" +
                   Row({"not answered, last " + window.name, "requests"},
                       "th") +
                   rows + "</table>\n";
}

std::string WorstTable(const std::string& kind,
                       const std::vector<observe::WorstEntry>& entries) {
  constexpr size_t kMaxRows = 10;
  std::string rows;
  for (size_t i = 0; i < entries.size() && i < kMaxRows; ++i) {
    rows += Row({entries[i].name, std::to_string(entries[i].requests),
                 std::to_string(entries[i].bad)},
                "td");
  }
  return rows.empty()
             ? ""
             : "<table>" +
                   Row({kind + ", last hour", "requests", "not in time"},
                       "th") +
                   rows + "</table>\n";
}

std::string ServiceSection(const ServiceBurn& service) {
  std::string html = "<h2>" + Escape(service.service.value) + "</h2>\n";
  if (service.objective) {
    html += "<p>Objective: " + Escape(FormatObjective(service.objective)) +
            (service.objectives_differ
                 ? " <span class=\"bad\">(nodes differ)</span>"
                 : "") +
            "</p>\n<div class=\"plots\">" + BurnPlot(service) +
            BudgetPlot(service);
  } else {
    html +=
        "<p class=\"note\">No objective in the file.</p>"
        "<div class=\"plots\">";
  }
  // Plot the last hour, which best shows the present state. A report may lack
  // this window.
  const auto hour = std::find_if(
      service.windows.begin(), service.windows.end(),
      [](const BurnWindow& window) { return window.name == "1h"; });
  if (hour != service.windows.end()) {
    html += LatencyPlot(service, *hour);
  }
  html += "</div>\n" + WindowTable(service) + "<div class=\"plots\">";
  if (hour != service.windows.end()) {
    html += ReasonTable(*hour);
  }
  return html + WorstTable("zone", service.zones) +
         WorstTable("target", service.targets) + "</div>\n";
}

}  // namespace

std::string FormatObjective(const std::optional<world::Objective>& objective) {
  return objective ? config::FormatShare(objective->share) + " in " +
                         config::FormatDuration(objective->within)
                   : "";
}

std::string FormatBurn(const BurnWindow& window,
                       const std::optional<world::Objective>& objective) {
  const auto rate =
      objective ? observe::BurnRate(window.counts, *objective) : std::nullopt;
  return rate ? FormatFixed(*rate, 2) : "";
}

std::string FormatBudget(const BurnWindow& window,
                         const std::optional<world::Objective>& objective) {
  const auto left =
      objective ? observe::BudgetLeft(window, *objective) : std::nullopt;
  return left ? FormatFixed(*left * 100, 1) + "%" : "";
}

std::string FormatLatency(Duration latency) {
  constexpr double kMicrosPerMilli = 1000;
  return latency.count() == 0
             ? ""
             : FormatFixed(
                   static_cast<double>(latency.count()) / kMicrosPerMilli, 1) +
                   "ms";
}

std::string RenderBurnPage(const FleetBurn& burn) {
  std::ostringstream html;
  html << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
          "<title>Service-level burn</title><style>"
       << kStyle << "</style></head><body>\n<h1>Service-level burn</h1>\n<p>"
       << Escape(burn.made_at) << ", read from " << burn.nodes
       << " nodes</p>\n";
  if (!burn.unreachable.empty()) {
    html << "<p class=\"bad\">Could not be read, and is not counted:</p><ul>";
    for (const std::string& error : burn.unreachable) {
      html << "<li>" << Escape(error) << "</li>";
    }
    html << "</ul>\n";
  }
  html << "<p class=\"note\">A late answer, a server error, a refusal, an "
          "unknown outcome and a caller that hung up all use up the budget. "
          "Rejected requests are the caller's own fault and do not.</p>\n";
  for (const ServiceBurn& service : burn.report.services) {
    html << ServiceSection(service);
  }
  html << "</body></html>\n";
  return html.str();
}

}  // namespace ibisvalve::ctl

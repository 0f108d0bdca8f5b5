#include "observe/burn_meter.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "observe/slot_ring.h"

namespace ibisvalve::observe {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

// Resolution and length of one history. Windows are summed from its spans.
struct HistoryLayout {
  Duration span;
  size_t spans;  // those of the longest window, plus the current span
};
constexpr std::array<HistoryLayout, 3> kHistoryLayouts = {
    {{minutes(1), 61}, {minutes(10), 37}, {hours(1), 73}}};

struct WindowKind {
  const char* name;
  Duration length;
  size_t layout;  // index into kHistoryLayouts
};
constexpr std::array<WindowKind, 4> kWindows = {{{"5m", minutes(5), 0},
                                                 {"1h", hours(1), 0},
                                                 {"6h", hours(6), 1},
                                                 {"3d", hours(72), 2}}};

// Counts by zone and by target cover the last hour.
constexpr HistoryLayout kWorstLayout = {minutes(10), 7};
constexpr Duration kWorstWindow = hours(1);
constexpr size_t kMaxZones = 16;
constexpr size_t kMaxTargets = 32;
// Memory allowed for the name of a zone or target, which has at most 64
// characters.
constexpr size_t kMaxNameBytes = 80;

struct CountSlot {
  BurnCounts<uint32_t> counts;
  void Clear() { counts = BurnCounts<uint32_t>(); }
};

struct WorstSlot {
  WorstList zones{kMaxZones};
  WorstList targets{kMaxTargets};
  void Clear() {
    zones.Clear();
    targets.Clear();
  }
};

bool IsBad(Ending ending) {
  return ending != Ending::kInTime && ending != Ending::kRejected;
}

}  // namespace

// Counts of one service. The history is allocated at the first request.
class BurnMeter::ServiceMeter {
 public:
  void SetObjective(const world::Service& service) {
    objective_ = service.objective;
    within_ = objective_ ? objective_->within : service.deadline;
  }

  void Add(const RequestSample& sample, uint64_t wall_us) {
    const Ending ending = ClassifyRequest(sample, within_);
    ++totals_[static_cast<size_t>(ending)];
    if (history_ == nullptr) {
      history_ = std::make_unique<History>();
    }
    history_->Add(sample, ending, wall_us);
  }

  ServiceBurn Report(const ServiceName& name, uint64_t wall_us) const {
    ServiceBurn burn;
    burn.service = name;
    burn.objective = objective_;
    burn.windows.reserve(kWindows.size());
    for (const WindowKind& kind : kWindows) {
      burn.windows.push_back(BurnWindow{kind.name, kind.length, {}});
    }
    if (history_ != nullptr) {
      history_->FillReport(burn, wall_us);
    }
    return burn;
  }

  const std::array<uint64_t, kEndings>& totals() const { return totals_; }

  // Returns the maximum memory of a service that has received a request, in
  // bytes.
  static size_t MaxBytes() {
    return sizeof(ServiceMeter) + History::MaxBytes();
  }

 private:
  class History {
   public:
    History() : worst_(kWorstLayout.span, kWorstLayout.spans, WorstSlot{}) {
      rings_.reserve(kHistoryLayouts.size());
      for (const HistoryLayout& layout : kHistoryLayouts) {
        rings_.emplace_back(layout.span, layout.spans, CountSlot{});
      }
    }

    void Add(const RequestSample& sample, Ending ending, uint64_t wall_us) {
      for (SlotRing<CountSlot>& ring : rings_) {
        ring.At(wall_us).counts.Add(sample, ending);
      }
      WorstSlot& worst = worst_.At(wall_us);
      if (!sample.gate_zone.empty()) {
        worst.zones.Add(sample.gate_zone.value, IsBad(ending));
      }
      if (!sample.gate.empty()) {
        worst.targets.Add(sample.gate.value, IsBad(ending));
      }
    }

    void FillReport(ServiceBurn& burn, uint64_t wall_us) const {
      for (size_t i = 0; i < kWindows.size(); ++i) {
        rings_[kWindows[i].layout].VisitWindow(
            wall_us, kWindows[i].length, [&](const CountSlot& slot) {
              burn.windows[i].counts.Merge(slot.counts);
            });
      }
      WorstSlot worst;
      worst_.VisitWindow(wall_us, kWorstWindow, [&](const WorstSlot& slot) {
        worst.zones.Merge(slot.zones);
        worst.targets.Merge(slot.targets);
      });
      burn.zones = worst.zones.Sorted();
      burn.targets = worst.targets.Sorted();
    }

    static size_t MaxBytes() {
      size_t bytes = sizeof(History);
      for (const HistoryLayout& layout : kHistoryLayouts) {
        bytes += layout.spans * SlotRing<CountSlot>::kSlotBytes;
      }
      // A growing vector may have a capacity of twice its size.
      const size_t entries = 2 * (kMaxZones + kMaxTargets + 2);
      const size_t names = entries * (sizeof(WorstEntry) + kMaxNameBytes);
      return bytes +
             kWorstLayout.spans * (SlotRing<WorstSlot>::kSlotBytes + names);
    }

   private:
    std::vector<SlotRing<CountSlot>>
        rings_;  // one per entry of kHistoryLayouts
    SlotRing<WorstSlot> worst_;
  };

  std::optional<world::Objective> objective_;
  Duration within_{0};
  std::array<uint64_t, kEndings> totals_{};
  std::unique_ptr<History> history_;
};

BurnMeter::BurnMeter() = default;
BurnMeter::~BurnMeter() = default;

void BurnMeter::Configure(const world::Fleet& fleet) {
  std::erase_if(services_, [&](const auto& entry) {
    return world::FindService(fleet, entry.first) == nullptr;
  });
  for (const world::Service& service : fleet.services) {
    std::unique_ptr<ServiceMeter>& meter = services_[service.name];
    if (meter == nullptr) {
      meter = std::make_unique<ServiceMeter>();
    }
    meter->SetObjective(service);
  }
}

void BurnMeter::Add(const RequestSample& sample, uint64_t wall_us) {
  const auto found = services_.find(sample.service);
  if (found != services_.end()) {
    found->second->Add(sample, wall_us);
  }
}

BurnReport BurnMeter::Report(uint64_t wall_us) const {
  BurnReport report;
  report.services.reserve(services_.size());
  for (const auto& [name, meter] : services_) {
    report.services.push_back(meter->Report(name, wall_us));
  }
  return report;
}

std::string BurnMeter::Json(uint64_t wall_us) const {
  return ToJson(Report(wall_us));
}

void BurnMeter::Collect(std::vector<MetricSample>& out) const {
  for (const auto& [name, meter] : services_) {
    for (size_t i = 0; i < kEndings; ++i) {
      out.push_back(MetricSample{"ibis_requests_total",
                                 {{"service", name.value},
                                  {"ending", ToString(static_cast<Ending>(i))}},
                                 static_cast<double>(meter->totals()[i]),
                                 true});
    }
  }
}

size_t BurnMeter::BytesPerService() {
  return ServiceMeter::MaxBytes();
}

}  // namespace ibisvalve::observe

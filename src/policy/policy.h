#pragma once

/// Public header of the policy library: load balancing, admission, retries and
/// quarantine. The decisions are pure: without I/O, threads or clocks.

#include "policy/admission.h"              // IWYU pragma: export
#include "policy/any_chooser.h"            // IWYU pragma: export
#include "policy/baseline_choosers.h"      // IWYU pragma: export
#include "policy/body_credit.h"            // IWYU pragma: export
#include "policy/choice.h"                 // IWYU pragma: export
#include "policy/ejection.h"               // IWYU pragma: export
#include "policy/events.h"                 // IWYU pragma: export
#include "policy/expected_value.h"         // IWYU pragma: export
#include "policy/hedge.h"                  // IWYU pragma: export
#include "policy/link_meter.h"             // IWYU pragma: export
#include "policy/pace_meter.h"             // IWYU pragma: export
#include "policy/probe_budget.h"           // IWYU pragma: export
#include "policy/quarantine.h"             // IWYU pragma: export
#include "policy/quota_balance.h"          // IWYU pragma: export
#include "policy/rate_limit.h"             // IWYU pragma: export
#include "policy/recent_answers.h"         // IWYU pragma: export
#include "policy/refused_callers.h"        // IWYU pragma: export
#include "policy/retry_after.h"            // IWYU pragma: export
#include "policy/retry_budget.h"           // IWYU pragma: export
#include "policy/run_result.h"             // IWYU pragma: export
#include "policy/service_time_estimate.h"  // IWYU pragma: export
#include "policy/silence_bound.h"          // IWYU pragma: export
#include "policy/subset.h"                 // IWYU pragma: export
#include "policy/token_buckets.h"          // IWYU pragma: export
#include "policy/transit_delay.h"          // IWYU pragma: export
#include "policy/unanswered_runs.h"        // IWYU pragma: export
#include "policy/weighed_chooser.h"        // IWYU pragma: export
#include "policy/weighted_round_robin.h"   // IWYU pragma: export
#include "policy/workspace_keys.h"         // IWYU pragma: export

#pragma once

/// Public header of the wire library: messages between the system's own
/// processes, framing and size limits.

#include "wire/archive.h"           // IWYU pragma: export
#include "wire/claim_messages.h"    // IWYU pragma: export
#include "wire/control_messages.h"  // IWYU pragma: export
#include "wire/frame.h"             // IWYU pragma: export
#include "wire/gossip_messages.h"   // IWYU pragma: export
#include "wire/mesh_messages.h"     // IWYU pragma: export
#include "wire/percent.h"           // IWYU pragma: export

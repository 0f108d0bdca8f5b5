#pragma once

/// Public header of the net library: event loop, timers, framed TCP
/// connections, UDP, and HTTP between operators and daemons.

#include "net/admin_server.h"     // IWYU pragma: export
#include "net/datagram_socket.h"  // IWYU pragma: export
#include "net/event_loop.h"       // IWYU pragma: export
#include "net/frame_link.h"       // IWYU pragma: export
#include "net/http_client.h"      // IWYU pragma: export
#include "net/http_method.h"      // IWYU pragma: export
#include "net/http_reader.h"      // IWYU pragma: export
#include "net/socket_address.h"   // IWYU pragma: export

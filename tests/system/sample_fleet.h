#pragma once

#include <string>

namespace ibisvalve::test {

/// A fleet configuration for the tests that start real processes.
inline const std::string kSampleFleet = R"(ibisvalve: 1
name: sample
regions:
  - name: viti-levu
    zones: [suva, nadi, lautoka]
services:
  - name: roomfinder
    deadline: 5s
    contracts:
      - {methods: [GET, HEAD], path: /, repeat: allowed}
      - {path: /, repeat: never}
  - name: bookdesk
    deadline: 10s
    key_retention: 24h
    contracts:
      - {methods: [POST], path: /bookings, repeat: never, key: required}
      - {methods: [GET, HEAD], path: /bytes, repeat: allowed}
      - {path: /, repeat: never}
control:
  lease: 3s
)";

}  // namespace ibisvalve::test

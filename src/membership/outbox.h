#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership_settings.h"
#include "membership/token_bucket.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::membership {

/// A datagram to send.
struct Datagram {
  world::Endpoint to;
  std::string bytes;

  auto operator<=>(const Datagram&) const = default;
};

/// Queue of outgoing datagrams with a byte budget. The budget does not limit
/// Send(); callers check it before they send optional messages.
class Outbox {
 public:
  explicit Outbox(const MembershipSettings& settings)
      : datagram_bytes_(settings.datagram_bytes),
        burst_(settings.bytes_per_second * kBurstSeconds),
        budget_(settings.bytes_per_second, burst_) {}

  /// Refills the byte budget for the time up to `now`.
  void Refill(Time now) { budget_.Refill(now); }
  /// Queues one message and charges it to the budget, which may become
  /// overdrawn.
  template <typename Message>
  void Send(const world::Endpoint& to, const Message& message) {
    datagrams_.push_back({to, wire::EncodeFrame(message)});
    const size_t bytes = datagrams_.back().bytes.size() + kPacketHeaderBytes;
    budget_.Take(bytes);
    sent_bytes_ += bytes;
    ++sent_datagrams_;
  }
  /// Returns the number of bytes left in the budget, or 0 if it is overdrawn.
  size_t available() const { return budget_.available(); }
  /// Returns whether at least half of the burst is left, so that messages may
  /// be sent ahead of time.
  bool has_surplus() const { return available() >= burst_ / 2; }
  /// Returns how many datagrams of the maximum size the budget allows.
  size_t affordable_datagrams() const {
    return available() / (datagram_bytes_ + kPacketHeaderBytes);
  }
  /// Returns the maximum size of an encoded message, in bytes.
  size_t max_message_bytes() const {
    return datagram_bytes_ - wire::kFrameHeaderBytes;
  }
  /// Removes and returns all queued datagrams.
  std::vector<Datagram> Take() { return std::exchange(datagrams_, {}); }
  /// Returns the number of bytes sent so far, including IP and UDP headers.
  uint64_t sent_bytes() const { return sent_bytes_; }
  /// Returns the number of datagrams sent so far.
  uint64_t sent_datagrams() const { return sent_datagrams_; }

 private:
  static constexpr size_t kPacketHeaderBytes = 28;  // IPv4 and UDP headers
  // Capacity of the budget, in seconds of the average rate.
  static constexpr uint32_t kBurstSeconds = 4;

  size_t datagram_bytes_;
  uint32_t burst_;
  TokenBucket budget_;
  std::vector<Datagram> datagrams_;
  uint64_t sent_bytes_ = 0;
  uint64_t sent_datagrams_ = 0;
};

}  // namespace ibisvalve::membership

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

/// A datagram to be sent.
struct Datagram {
  world::Endpoint to;
  std::string bytes;

  auto operator<=>(const Datagram&) const = default;
};

/// Datagrams that wait to be taken, and the byte budget they are paid from.
class Outbox {
 public:
  explicit Outbox(const MembershipSettings& settings)
      : datagram_bytes_(settings.datagram_bytes),
        burst_(settings.bytes_per_second * kBurstSeconds),
        budget_(settings.bytes_per_second, burst_) {}

  /// Adds what the budget has gained by `now`.
  void Refill(Time now) { budget_.Refill(now); }
  /// Queues one message, also beyond the budget.
  template <typename Message>
  void Send(const world::Endpoint& to, const Message& message) {
    datagrams_.push_back({to, wire::EncodeFrame(message)});
    const size_t bytes = datagrams_.back().bytes.size() + kPacketBytes;
    budget_.Take(bytes);
    sent_bytes_ += bytes;
    ++sent_datagrams_;
  }
  /// Returns how many bytes the budget allows.
  size_t available() const { return budget_.available(); }
  /// Returns whether so much is left that more than the needful may be sent.
  bool plentiful() const { return available() >= burst_ / 2; }
  /// Returns how many datagrams of the largest size the budget allows.
  size_t affordable() const {
    return available() / (datagram_bytes_ + kPacketBytes);
  }
  /// Returns how many bytes a message may have when encoded.
  size_t message_bytes() const {
    return datagram_bytes_ - wire::kFrameHeaderBytes;
  }
  /// Returns and forgets the datagrams.
  std::vector<Datagram> Take() { return std::exchange(datagrams_, {}); }
  /// Returns what was sent so far, with the headers of IP and UDP.
  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t sent_datagrams() const { return sent_datagrams_; }

 private:
  static constexpr size_t kPacketBytes = 28;  // headers of IP and UDP
  static constexpr uint32_t kBurstSeconds = 4;

  size_t datagram_bytes_;
  uint32_t burst_;
  TokenBucket budget_;
  std::vector<Datagram> datagrams_;
  uint64_t sent_bytes_ = 0;
  uint64_t sent_datagrams_ = 0;
};

}  // namespace ibisvalve::membership

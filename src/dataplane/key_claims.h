#pragma once

#include <functional>
#include <memory>

#include "dataplane/node_plane.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Claims the keys of requests at the keepers before they run, and settles them
/// afterwards. A claim whose attempt ended while it waited is released.
class KeyClaims {
 public:
  /// `port` must outlive it.
  explicit KeyClaims(ClaimPort& port);
  ~KeyClaims();
  KeyClaims(const KeyClaims&) = delete;
  KeyClaims& operator=(const KeyClaims&) = delete;

  /// Asks to claim. `done` is called at most once, returns whether the attempt
  /// still waits for the answer, and is not called once this object is gone.
  void Claim(const wire::ClaimRequest& request,
             Duration timeout,
             std::function<bool(const wire::ClaimReply&)> done);
  /// Records that the holder ran and ended with the HTTP status `status`.
  void Record(const wire::RequestKey& key,
              const wire::ClaimHolder& holder,
              uint16_t status);
  /// Gives the key back: the holder provably never ran.
  void Release(const wire::RequestKey& key, const wire::ClaimHolder& holder);

 private:
  ClaimPort& port_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane

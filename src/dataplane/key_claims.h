#pragma once

#include <functional>
#include <memory>

#include "dataplane/node_plane.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Claims idempotency keys at the keepers before requests run, and settles the
/// claims afterwards. Releases a claim that is granted after its attempt has
/// finished, and one whose result is not known.
class KeyClaims {
 public:
  /// Claims keys through `port`, which must outlive this object.
  explicit KeyClaims(ClaimPort& port);
  ~KeyClaims();
  KeyClaims(const KeyClaims&) = delete;
  KeyClaims& operator=(const KeyClaims&) = delete;

  /// Requests a claim. `done` is called at most once, and not after this object
  /// is destroyed; it returns whether the attempt was still waiting for the
  /// claim. Fails with kUnavailable, within this call, if there are no keepers
  /// to ask.
  void Claim(const wire::ClaimRequest& request,
             Duration timeout,
             std::function<bool(const wire::ClaimReply&)> done);
  /// Records that `holder` ran the request, with the HTTP status `status`.
  void Record(const wire::RequestKey& key,
              const wire::ClaimHolder& holder,
              uint16_t status);
  /// Releases the key, because `holder` provably did not run the request.
  void Release(const wire::RequestKey& key, const wire::ClaimHolder& holder);

 private:
  ClaimPort& port_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane

#include "dataplane/key_claims.h"

#include <utility>

namespace ibisvalve::dataplane {

KeyClaims::KeyClaims(ClaimPort& port) : port_(port) {}

KeyClaims::~KeyClaims() {
  *alive_ = false;
}

void KeyClaims::Claim(const wire::ClaimRequest& request,
                      Duration timeout,
                      std::function<bool(const wire::ClaimReply&)> done) {
  if (!port_.claim) {
    done(wire::ClaimReply{request.call, wire::ClaimVerdict::kUnavailable,
                          request.holder, 0});
    return;
  }
  port_.claim(request, timeout,
              [this, request, done = std::move(done),
               alive = alive_](const wire::ClaimReply& reply) {
                if (!*alive) {
                  return;
                }
                // After kUnavailable the claim may still have been granted.
                const bool unavailable =
                    reply.verdict == wire::ClaimVerdict::kUnavailable;
                const bool granted =
                    reply.verdict == wire::ClaimVerdict::kGranted;
                const bool waiting = done(reply);
                if (unavailable || (granted && !waiting)) {
                  Release(request.key, request.holder);
                }
              });
}

void KeyClaims::Record(const wire::RequestKey& key,
                       const wire::ClaimHolder& holder,
                       uint16_t status) {
  if (port_.settle) {
    port_.settle(wire::ClaimSettle{key, holder, status});
  }
}

void KeyClaims::Release(const wire::RequestKey& key,
                        const wire::ClaimHolder& holder) {
  Record(key, holder, 0);
}

}  // namespace ibisvalve::dataplane

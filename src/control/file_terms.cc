#include "control/file_terms.h"

namespace ibisvalve::control {

const CheckedFile& FileTerms::Active() {
  const ConfigRecord* active = driver_.state().config().active();
  if (active != nullptr && active->revision != revision_) {
    revision_ = active->revision;
    terms_ = checker_(active->text);
  }
  return terms_;
}

}  // namespace ibisvalve::control

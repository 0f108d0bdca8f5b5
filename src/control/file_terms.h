#pragma once

#include "control/keeper.h"
#include "control/replica_driver.h"

namespace ibisvalve::control {

/// What the active file says that keepers need. Parsed once for each revision.
class FileTerms {
 public:
  FileTerms(const ReplicaDriver& driver, Keeper::Checker checker)
      : driver_(driver), checker_(std::move(checker)) {}

  /// Returns the terms of the active file, or the defaults if there is none.
  const CheckedFile& Active();
  /// Returns the revision that Active describes.
  Revision revision() const { return revision_; }

 private:
  const ReplicaDriver& driver_;
  Keeper::Checker checker_;
  Revision revision_;
  CheckedFile terms_;
};

}  // namespace ibisvalve::control

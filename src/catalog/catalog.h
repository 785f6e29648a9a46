#ifndef DAISYPOND_CATALOG_CATALOG_H_
#define DAISYPOND_CATALOG_CATALOG_H_

#include <memory>

#include "catalog/configuration.h"
#include "catalog/target.h"

namespace daisypond::catalog {

/// The active configuration and targets at one moment. A request uses the same
/// catalog from start to end. A member is null until its contents have been
/// received for the first time.
struct Catalog {
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const Targets> targets;

  bool IsComplete() const {
    return configuration != nullptr && targets != nullptr;
  }
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_CATALOG_H_

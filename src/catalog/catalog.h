#ifndef DAISYPOND_CATALOG_CATALOG_H_
#define DAISYPOND_CATALOG_CATALOG_H_

#include <memory>

#include "catalog/configuration.h"
#include "catalog/target.h"

namespace daisypond::catalog {

/// What is in force at one moment. A request keeps the catalog that it began
/// with; null members are not known yet.
struct Catalog {
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const Targets> targets;

  bool IsComplete() const {
    return configuration != nullptr && targets != nullptr;
  }
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_CATALOG_H_

#ifndef DAISYPOND_CATALOG_TABLE_VERSION_H_
#define DAISYPOND_CATALOG_TABLE_VERSION_H_

#include <compare>
#include <cstdint>

namespace daisypond::catalog {

/// A version of the table service. When the service returns from a copy, its
/// numbers go back and are given out again, and a new era begins. Numbers are
/// comparable only within one era.
struct TableVersion {
  uint64_t number = 0;
  /// Rises with each return from a copy; 0 if not known.
  uint64_t era = 0;

  friend bool operator==(const TableVersion&, const TableVersion&) = default;
  friend std::strong_ordering operator<=>(const TableVersion& a,
                                          const TableVersion& b) {
    return a.era != b.era ? a.era <=> b.era : a.number <=> b.number;
  }
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_TABLE_VERSION_H_

#ifndef DAISYPOND_CATALOG_ROW_H_
#define DAISYPOND_CATALOG_ROW_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/name_table.h"

namespace daisypond::catalog {

/// A row of the table service, as read from a list or a feed of changes.
struct Row {
  std::string key;
  /// The row's bytes; empty when it was removed.
  std::string value;
  bool is_removed = false;
};

struct RowPage {
  std::vector<Row> rows;
  bool has_more = false;
  /// The table service's newest version when the page was made.
  uint64_t version = 0;
};

/// Why the table service gave no rows.
enum class TableReadError : uint8_t {
  kUnreachable,
  kTimedOut,
  kRefused,
  /// Changes since the version asked for are no longer kept.
  kHistoryGone,
  kUnreadable,
  /// The answer is older than one that was read before.
  kOutdated,
};

inline constexpr base::NameTable<TableReadError, 6> kTableReadErrorNames(
    "unreachable",
    "timed_out",
    "refused",
    "history_gone",
    "unreadable",
    "outdated");

using TableReadResult = tl::expected<RowPage, TableReadError>;

/// Reads a table and waits for its changes.
template <typename T>
concept TableReader = requires(T& reader,
                               std::string table,
                               std::string from_key,
                               uint64_t version,
                               base::Millis wait) {
  {
    reader.List(table, from_key)
    } -> std::same_as<boost::asio::awaitable<TableReadResult>>;
  {
    reader.Changes(table, version, wait)
    } -> std::same_as<boost::asio::awaitable<TableReadResult>>;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_ROW_H_

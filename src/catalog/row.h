#ifndef DAISYPOND_CATALOG_ROW_H_
#define DAISYPOND_CATALOG_ROW_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/name_table.h"
#include "catalog/table_version.h"

namespace daisypond::catalog {

/// A row of a table, or a change of one, as returned by the table service.
struct Row {
  std::string key;
  /// Content of the row; empty when the row was removed.
  std::string value;
  bool is_removed = false;
};

/// Maximum number of rows that one transaction writes or removes.
inline constexpr size_t kMaximumRowsPerWrite = 100;

struct RowPage {
  std::vector<Row> rows;
  /// True when the table has further rows after those of this page.
  bool has_more = false;
  /// Version of the table when the page was created.
  TableVersion version;
};

/// Why reading from the table service failed.
enum class TableReadError : uint8_t {
  kUnreachable,
  kTimedOut,
  kRefused,
  /// The table service no longer stores the changes since the requested
  /// version.
  kHistoryGone,
  kUnreadable,
  /// The response has a lower table version than an earlier response.
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

/// Reads a table. ListRows() returns the first page of the rows whose keys are
/// not less than `from_key`. WaitForChanges() returns the changes after
/// `version`; when there are none, it waits up to `wait` for a change.
template <typename T>
concept TableReader = requires(T& reader,
                               std::string table,
                               std::string from_key,
                               uint64_t version,
                               base::Millis wait) {
  {
    reader.ListRows(table, from_key)
    } -> std::same_as<boost::asio::awaitable<TableReadResult>>;
  {
    reader.WaitForChanges(table, version, wait)
    } -> std::same_as<boost::asio::awaitable<TableReadResult>>;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_ROW_H_

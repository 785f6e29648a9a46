#ifndef DAISYPOND_YAML_MAPPING_READER_H_
#define DAISYPOND_YAML_MAPPING_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"
#include "yaml/node.h"

namespace daisypond::yaml {

/// Inclusive bounds of a number.
struct Range {
  int64_t lowest = 0;
  int64_t highest = INT64_MAX;
};

/// Reads typed values from one YAML mapping. An invalid value does not stop the
/// reading: the first error is stored in `error`, and the caller checks `error`
/// once, after the last read. Call RejectUnknownKeys() at the end to report
/// keys that were not read.
class MappingReader {
 public:
  MappingReader(const Node& node,
                std::string path,
                std::optional<Error>* error);

  /// Text() and the methods below up to Choice() read the value at `key`.
  /// Methods with a parameter `fallback` return `fallback` when the key is
  /// missing.
  std::string Text(std::string_view key, const std::string& fallback = "");
  /// Reads a text; sets an error when it is missing or empty.
  std::string RequiredText(std::string_view key);
  int64_t Integer(std::string_view key, Range range, int64_t fallback);
  double Decimal(std::string_view key, double lowest, double fallback);
  bool Bool(std::string_view key, bool fallback);
  /// Reads a whole number of milliseconds; `range` is in milliseconds too.
  base::Millis Duration(std::string_view key,
                        Range range,
                        base::Millis fallback);
  /// Reads a sequence of scalars; empty when the key is missing.
  std::vector<std::string> TextList(std::string_view key);

  /// Reads "IP:PORT": an IPv4 address and a port from 1 to 65535.
  std::string Address(std::string_view key, bool is_required);

  /// Reads a value of an enumeration by its name in `names`.
  template <typename Enum, size_t N>
  Enum Choice(std::string_view key,
              const base::NameTable<Enum, N>& names,
              Enum fallback) {
    const std::string text = Text(key);
    if (text.empty()) {
      return fallback;
    }
    const std::optional<Enum> value = names.ValueOf(text);
    if (!value) {
      std::string known;
      for (size_t i = 0; i < N; ++i) {
        known += (i == 0 ? "" : ", ") +
                 std::string(names.NameOf(static_cast<Enum>(i)));
      }
      SetError(key, "must be one of " + known);
    }
    return value.value_or(fallback);
  }

  /// Calls `read(name, reader)` for each entry of the mapping at `key`. The
  /// value of each entry must be a mapping, which `reader` reads.
  template <typename Read>
  void ForEach(std::string_view key, Read read) {
    const Node* node = ReadNode(key);
    if (node == nullptr || !IsMapping(key, *node)) {
      return;
    }
    for (const Entry& it : node->entries) {
      MappingReader child(it.node, PathOf(key) + "." + it.key, error_);
      if (it.node.kind != NodeKind::kMapping) {
        child.SetError("", "must be a mapping");
        return;
      }
      read(it.key, child);
      child.RejectUnknownKeys();
    }
  }

  /// Calls `read(reader)` for the mapping at `key`, if there is one.
  template <typename Read>
  void Child(std::string_view key, Read read) {
    const Node* node = ReadNode(key);
    if (node == nullptr || !IsMapping(key, *node)) {
      return;
    }
    MappingReader child(*node, PathOf(key), error_);
    read(child);
    child.RejectUnknownKeys();
  }

  /// Sets an error that refers to the value at `key`, or to the whole mapping
  /// when `key` is empty. Does nothing when an earlier error is set.
  void SetError(std::string_view key, std::string message);

  /// Sets an error when the mapping has a key that was not read.
  void RejectUnknownKeys();

 private:
  const Node* ReadNode(std::string_view key);
  const Node* ReadScalar(std::string_view key);
  bool IsMapping(std::string_view key, const Node& node);
  std::string PathOf(std::string_view key) const;

  const Node& node_;
  std::string path_;
  std::optional<Error>* error_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace daisypond::yaml

#endif  // DAISYPOND_YAML_MAPPING_READER_H_

#ifndef DAISYPOND_YAML_NODE_H_
#define DAISYPOND_YAML_NODE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace daisypond::yaml {

/// Why a YAML file was rejected, and the place in it that caused the error.
struct Error {
  std::string file;
  /// Line number, counted from 1; zero when the error concerns the whole file.
  int line = 0;
  /// The path of keys to the value, separated by dots; empty for the document
  /// root.
  std::string key;
  std::string message;

  /// Formats the error as "file:line: key: message".
  std::string ToString() const;
};

template <typename T>
using ParseResult = tl::expected<T, Error>;

enum class NodeKind : uint8_t { kNull, kScalar, kSequence, kMapping };

struct Entry;

/// A YAML node with the file and line that it was read from.
struct Node {
  NodeKind kind = NodeKind::kNull;
  std::string file;
  int line = 0;
  std::string scalar;
  std::vector<Node> items;
  std::vector<Entry> entries;

  /// Returns the value at `key` of a mapping, or null when the key is missing.
  const Node* Find(std::string_view key) const;
};

/// One key and value of a mapping.
struct Entry {
  std::string key;
  Node node;
};

/// Parses one YAML document. `file` is the file name for error messages. A key
/// that is set twice in a mapping is an error.
ParseResult<Node> Parse(std::string file, const std::string& text);

/// Merges the mapping `from` into the mapping `into`. When both have the same
/// key, two mappings are merged recursively; any other pair of values is an
/// error that states where both were set.
ParseResult<void> Merge(const Node& from, Node* into);

}  // namespace daisypond::yaml

#endif  // DAISYPOND_YAML_NODE_H_

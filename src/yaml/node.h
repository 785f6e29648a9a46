#ifndef DAISYPOND_YAML_NODE_H_
#define DAISYPOND_YAML_NODE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace daisypond::yaml {

/// Where and why a file of settings or intents was not accepted.
struct Error {
  std::string file;
  /// Counted from 1; zero when the error belongs to the whole file.
  int line = 0;
  /// The path of keys, separated by dots; empty at the top.
  std::string key;
  std::string message;

  /// "file:line: key: message".
  std::string ToString() const;
};

template <typename T>
using ParseResult = tl::expected<T, Error>;

enum class NodeKind : uint8_t { kNull, kScalar, kSequence, kMapping };

struct Entry;

/// A YAML node that knows which file and line it came from.
struct Node {
  NodeKind kind = NodeKind::kNull;
  std::string file;
  int line = 0;
  std::string scalar;
  std::vector<Node> items;
  std::vector<Entry> entries;

  /// The child with this key, or null.
  const Node* Find(std::string_view key) const;
};

struct Entry {
  std::string key;
  Node node;
};

/// Parses one document. A key that stands twice in a mapping is an error.
ParseResult<Node> Parse(std::string file, const std::string& text);

/// Adds `from` to `into`. Mappings are joined; any other key that both hold
/// is an error that names both places.
ParseResult<void> Merge(const Node& from, Node* into);

}  // namespace daisypond::yaml

#endif  // DAISYPOND_YAML_NODE_H_

#include "yaml/node.h"

#include <unordered_map>
#include <utility>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace daisypond::yaml {

namespace {

// Limits the expansion of aliases: nested aliases can turn a small text into
// an exponential number of nodes.
constexpr size_t kMaximumNodes = 4'000'000;
constexpr size_t kMaximumFileBytes = 64u << 20;

std::string Join(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

/// Converts yaml-cpp nodes to Node objects. Fails on keys that are not scalars
/// and on keys that are set twice in a mapping.
class NodeConverter {
 public:
  explicit NodeConverter(std::string file) : file_(std::move(file)) {}

  ParseResult<Node> Convert(const YAML::Node& from, const std::string& path) {
    if (++node_count_ > kMaximumNodes) {
      return tl::unexpected(
          Error{file_, 0, path, "too many nodes after alias expansion"});
    }
    Node node;
    node.file = file_;
    node.line = from.Mark().line + 1;
    if (from.IsScalar()) {
      node.kind = NodeKind::kScalar;
      node.scalar = from.Scalar();
      return node;
    }
    if (from.IsSequence()) {
      return ConvertSequence(from, path, std::move(node));
    }
    if (from.IsMap()) {
      return ConvertMapping(from, path, std::move(node));
    }
    return node;
  }

 private:
  ParseResult<Node> ConvertSequence(const YAML::Node& from,
                                    const std::string& path,
                                    Node node) {
    node.kind = NodeKind::kSequence;
    for (const YAML::Node& it : from) {
      auto item = Convert(it, path);
      if (!item) {
        return item;
      }
      node.items.push_back(std::move(*item));
    }
    return node;
  }

  ParseResult<Node> ConvertMapping(const YAML::Node& from,
                                   const std::string& path,
                                   Node node) {
    node.kind = NodeKind::kMapping;
    std::unordered_map<std::string, int> line_by_key;
    for (const auto& it : from) {
      const int line = it.first.Mark().line + 1;
      if (!it.first.IsScalar()) {
        return tl::unexpected(
            Error{file_, line, path, "a key must be a scalar"});
      }
      const std::string key = it.first.Scalar();
      const auto [earlier, is_new] = line_by_key.emplace(key, line);
      if (!is_new) {
        return tl::unexpected(
            Error{file_, line, Join(path, key),
                  fmt::format("set twice, first in line {}", earlier->second)});
      }
      auto child = Convert(it.second, Join(path, key));
      if (!child) {
        return child;
      }
      child->line = line;
      node.entries.push_back({key, std::move(*child)});
    }
    return node;
  }

  std::string file_;
  size_t node_count_ = 0;
};

ParseResult<void> MergeMapping(const Node& from,
                               const std::string& path,
                               Node* into) {
  std::unordered_map<std::string_view, size_t> index_by_key;
  for (size_t i = 0; i < into->entries.size(); ++i) {
    index_by_key.emplace(into->entries[i].key, i);
  }
  std::vector<Entry> added;
  for (const Entry& it : from.entries) {
    const auto found = index_by_key.find(it.key);
    if (found == index_by_key.end()) {
      added.push_back(it);
      continue;
    }
    Node& present = into->entries[found->second].node;
    const std::string key = Join(path, it.key);
    if (present.kind != NodeKind::kMapping ||
        it.node.kind != NodeKind::kMapping) {
      return tl::unexpected(
          Error{it.node.file, it.node.line, key,
                fmt::format("also set in {}:{}", present.file, present.line)});
    }
    auto merged = MergeMapping(it.node, key, &present);
    if (!merged) {
      return merged;
    }
  }
  for (Entry& it : added) {
    into->entries.push_back(std::move(it));
  }
  return {};
}

}  // namespace

std::string Error::ToString() const {
  std::string buf = file;
  if (line > 0) {
    buf += fmt::format(":{}", line);
  }
  buf += ": ";
  if (!key.empty()) {
    buf += key + ": ";
  }
  return buf + message;
}

const Node* Node::Find(std::string_view key) const {
  for (const Entry& it : entries) {
    if (it.key == key) {
      return &it.node;
    }
  }
  return nullptr;
}

ParseResult<Node> Parse(std::string file, const std::string& text) {
  if (text.size() > kMaximumFileBytes) {
    return tl::unexpected(
        Error{std::move(file), 0, "", "file larger than 64 MiB"});
  }
  // yaml-cpp reports errors as exceptions; they are converted to Error here.
  try {
    const YAML::Node root = YAML::Load(text);
    if (!root.IsMap() && !root.IsNull()) {
      return tl::unexpected(
          Error{std::move(file), 1, "", "the document root must be a mapping"});
    }
    NodeConverter converter(file);
    auto node = converter.Convert(root, "");
    if (node) {
      node->kind = NodeKind::kMapping;
    }
    return node;
  } catch (const YAML::Exception& e) {
    return tl::unexpected(Error{std::move(file), e.mark.line + 1, "", e.msg});
  }
}

ParseResult<void> Merge(const Node& from, Node* into) {
  return MergeMapping(from, "", into);
}

}  // namespace daisypond::yaml

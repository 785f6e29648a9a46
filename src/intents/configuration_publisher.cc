#include "intents/configuration_publisher.h"

#include <set>

namespace daisypond::intents {

namespace {

std::string DigestOf(const FileDigests& files, const std::string& name) {
  const auto it = files.find(name);
  return it == files.end() ? "" : it->second;
}

}  // namespace

std::vector<std::string> MergeChange(const FolderChange& change,
                                     const FileDigests& current,
                                     FileDigests* merged) {
  const FileDigests wanted = ComputeDigests(change.files);
  std::set<std::string> names;
  for (const FileDigests* files : {&wanted, &change.base, &current}) {
    for (const auto& [name, digest] : *files) {
      names.insert(name);
    }
  }
  std::vector<std::string> conflicts;
  merged->clear();
  for (const std::string& name : names) {
    const std::string ours = DigestOf(wanted, name);
    const std::string base = DigestOf(change.base, name);
    const std::string theirs = DigestOf(current, name);
    const bool is_ours_changed = ours != base;
    if (is_ours_changed && theirs != base && theirs != ours) {
      conflicts.push_back(name);
    }
    const std::string& chosen = is_ours_changed ? ours : theirs;
    if (!chosen.empty()) {
      merged->emplace(name, chosen);
    }
  }
  return conflicts;
}

}  // namespace daisypond::intents

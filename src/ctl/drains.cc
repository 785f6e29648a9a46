#include "ctl/drains.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace daisypond::ctl {

namespace {

constexpr char kDrainFile[] = "90-drains.yaml";

}  // namespace

yaml::ParseResult<void> SetDrainState(const std::string& folder,
                                      const std::string& target,
                                      DrainState state) {
  const std::string path =
      (std::filesystem::path(folder) / kDrainFile).string();
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  const auto node = yaml::Parse(path, text.str());
  if (!node) {
    return tl::unexpected(node.error());
  }
  std::set<std::string> names;
  const yaml::Node* drains = node->Find("drains");
  if (drains != nullptr) {
    for (const yaml::Entry& it : drains->entries) {
      names.insert(it.key);
    }
  }
  if (state == DrainState::kDrained) {
    names.insert(target);
  } else {
    names.erase(target);
  }
  std::ofstream stream(path, std::ios::trunc);
  stream << "drains:" << (names.empty() ? " {}" : "") << "\n";
  for (const std::string& it : names) {
    stream << "  " << it << ": {}\n";
  }
  stream.close();
  if (!stream) {
    return tl::unexpected(yaml::Error{path, 0, "", "cannot be written"});
  }
  return {};
}

}  // namespace daisypond::ctl

#include "ctl/folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "base/json.h"

namespace daisypond::ctl {

namespace {

constexpr char kFolderBaseFile[] = ".daisypond-base";

std::string JoinPath(const std::string& folder, const std::string& name) {
  return (std::filesystem::path(folder) / name).string();
}

yaml::ParseResult<void> WriteFile(const std::string& path,
                                  const std::string& text) {
  std::ofstream stream(path, std::ios::trunc);
  stream << text;
  stream.close();
  if (!stream) {
    return tl::unexpected(yaml::Error{path, 0, "", "cannot be written"});
  }
  return {};
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

/// Returns a table whose element [i][j] is the length of the longest common
/// subsequence of the lines of `a` from i and the lines of `b` from j.
std::vector<std::vector<int>> LcsLengths(const std::vector<std::string>& a,
                                         const std::vector<std::string>& b) {
  std::vector<std::vector<int>> lengths(a.size() + 1,
                                        std::vector<int>(b.size() + 1, 0));
  for (size_t i = a.size(); i-- > 0;) {
    for (size_t j = b.size(); j-- > 0;) {
      lengths[i][j] = a[i] == b[j]
                          ? lengths[i + 1][j + 1] + 1
                          : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

}  // namespace

FolderBase ReadFolderBase(const std::string& folder) {
  const std::ifstream stream(JoinPath(folder, kFolderBaseFile));
  std::ostringstream text;
  text << stream.rdbuf();
  const base::Json value = base::ParseJson(text.str());
  FolderBase base;
  base.version = static_cast<uint64_t>(base::IntegerField(value, "version"));
  for (const auto& [name, digest] : base::ObjectField(value, "files").items()) {
    base.file_digests[name] =
        digest.is_string() ? digest.get<std::string>() : "";
  }
  return base;
}

yaml::ParseResult<void> WriteFolderBase(const std::string& folder,
                                        const FolderBase& base) {
  return WriteFile(JoinPath(folder, kFolderBaseFile),
                   base::WriteJson({{"version", base.version},
                                    {"files", base.file_digests}}) +
                       "\n");
}

yaml::ParseResult<void> WriteFolder(
    const std::string& folder,
    const std::vector<intents::IntentFile>& files) {
  std::error_code ec;
  std::filesystem::create_directories(folder, ec);
  std::set<std::string> names;
  for (const intents::IntentFile& it : files) {
    names.insert(it.name);
    auto written = WriteFile(JoinPath(folder, it.name), it.text);
    if (!written) {
      return written;
    }
  }
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    const std::string name = it.path().filename().string();
    if (it.path().extension() == ".yaml" && !names.contains(name)) {
      std::filesystem::remove(it.path(), ec);
    }
  }
  return {};
}

std::string LineDiff(const std::string& name,
                     const std::string& before,
                     const std::string& after) {
  if (before == after) {
    return "";
  }
  const auto a = SplitLines(before);
  const auto b = SplitLines(after);
  const auto lengths = LcsLengths(a, b);
  std::string buf = "--- " + name + "\n";
  size_t i = 0;
  size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
      buf += "-" + a[i++] + "\n";
    } else {
      buf += "+" + b[j++] + "\n";
    }
  }
  return buf;
}

}  // namespace daisypond::ctl

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

constexpr char kBaseFile[] = ".daisypond-base";

std::string PathIn(const std::string& folder, const std::string& name) {
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

std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

/// Lengths of the longest common subsequences of all tails.
std::vector<std::vector<int>> CommonLengths(const std::vector<std::string>& a,
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

FolderBase ReadBase(const std::string& folder) {
  const std::ifstream stream(PathIn(folder, kBaseFile));
  std::ostringstream text;
  text << stream.rdbuf();
  const base::Json value = base::ParseJson(text.str());
  FolderBase base;
  base.version = static_cast<uint64_t>(base::IntegerField(value, "version"));
  for (const auto& [name, digest] : base::ObjectField(value, "files").items()) {
    base.files[name] = digest.is_string() ? digest.get<std::string>() : "";
  }
  return base;
}

yaml::ParseResult<void> WriteBase(const std::string& folder,
                                  const FolderBase& base) {
  return WriteFile(
      PathIn(folder, kBaseFile),
      base::WriteJson({{"version", base.version}, {"files", base.files}}) +
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
    auto written = WriteFile(PathIn(folder, it.name), it.text);
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
  const auto a = LinesOf(before);
  const auto b = LinesOf(after);
  const auto lengths = CommonLengths(a, b);
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

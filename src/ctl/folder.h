#ifndef DAISYPOND_CTL_FOLDER_H_
#define DAISYPOND_CTL_FOLDER_H_

#include <string>
#include <vector>

#include "intents/bundle.h"
#include "intents/parse.h"

namespace daisypond::ctl {

/// What a folder was last in step with; kept in the folder's file
/// `.daisypond-base`.
struct FolderBase {
  uint64_t version = 0;
  intents::FileDigests files;
};

/// Version 0 when the folder was never in step with anything.
FolderBase ReadBase(const std::string& folder);
yaml::ParseResult<void> WriteBase(const std::string& folder,
                                  const FolderBase& base);

/// Writes files into a folder and removes *.yaml files that are not listed.
yaml::ParseResult<void> WriteFolder(
    const std::string& folder,
    const std::vector<intents::IntentFile>& files);

/// Line by line: what of `before` is not in `after` with "-", the reverse
/// with "+". Empty when the texts are equal.
std::string LineDiff(const std::string& name,
                     const std::string& before,
                     const std::string& after);

}  // namespace daisypond::ctl

#endif  // DAISYPOND_CTL_FOLDER_H_

#ifndef DAISYPOND_CTL_FOLDER_H_
#define DAISYPOND_CTL_FOLDER_H_

#include <string>
#include <vector>

#include "intents/bundle.h"
#include "intents/parse.h"

namespace daisypond::ctl {

/// The base of a folder: the published version that its files were taken from
/// by the latest pull, or became by the latest apply, whichever was later.
/// Stored in the file `.daisypond-base` of the folder. Publishing compares the
/// folder with this version to distinguish the changes of this operator from
/// those of others.
struct FolderBase {
  uint64_t version = 0;
  intents::FileDigests file_digests;
};

/// Reads the file `.daisypond-base` of a folder. Returns version 0 for a folder
/// that was never pulled or applied.
FolderBase ReadFolderBase(const std::string& folder);
yaml::ParseResult<void> WriteFolderBase(const std::string& folder,
                                        const FolderBase& base);

/// Writes `files` into a folder and removes all other *.yaml files from it.
yaml::ParseResult<void> WriteFolder(
    const std::string& folder,
    const std::vector<intents::IntentFile>& files);

/// Returns a line diff of a file without context lines. Removed lines start
/// with "-" and added lines with "+". Empty if the texts are equal.
std::string LineDiff(const std::string& name,
                     const std::string& before,
                     const std::string& after);

}  // namespace daisypond::ctl

#endif  // DAISYPOND_CTL_FOLDER_H_

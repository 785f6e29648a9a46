#ifndef DAISYPOND_INTENTS_PARSE_H_
#define DAISYPOND_INTENTS_PARSE_H_

#include <string>
#include <vector>

#include "intents/configuration.h"
#include "yaml/node.h"

namespace daisypond::intents {

/// One file of a folder of intents.
struct IntentFile {
  std::string name;
  std::string text;
};

/// Merges files in the order of their names and checks the whole.
yaml::ParseResult<Configuration> ParseIntents(std::vector<IntentFile> files);

/// Reads the *.yaml files of a folder, sorted by name.
yaml::ParseResult<std::vector<IntentFile>> ReadFolder(
    const std::string& folder);

}  // namespace daisypond::intents

#endif  // DAISYPOND_INTENTS_PARSE_H_

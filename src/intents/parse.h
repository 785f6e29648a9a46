#ifndef DAISYPOND_INTENTS_PARSE_H_
#define DAISYPOND_INTENTS_PARSE_H_

#include <string>
#include <vector>

#include "intents/configuration.h"
#include "yaml/node.h"

namespace daisypond::intents {

/// A YAML file of the operators' configuration (their intents).
struct IntentFile {
  std::string name;
  std::string text;
};

/// Merges files in the order of their names, then validates and converts the
/// result.
yaml::ParseResult<Configuration> ParseIntents(std::vector<IntentFile> files);

/// Reads the *.yaml files of a folder, sorted by name.
yaml::ParseResult<std::vector<IntentFile>> ReadFolder(
    const std::string& folder);

}  // namespace daisypond::intents

#endif  // DAISYPOND_INTENTS_PARSE_H_

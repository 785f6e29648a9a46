#ifndef DAISYPOND_YAML_ENVIRONMENT_H_
#define DAISYPOND_YAML_ENVIRONMENT_H_

#include <cstdint>
#include <optional>

#include "yaml/mapping_reader.h"
#include "yaml/node.h"

namespace daisypond::yaml {

/// The memory that the process may use, in MiB.
inline constexpr const char* kMemoryVariable = "DAISYPOND_MEMORY_MB";
inline constexpr Range kMemoryRange{32, 1 << 20};

/// Reads the number in an environment variable into `into`, unless that is set
/// (not zero) or the variable is empty. Returns an error if the value is no
/// number in `range`.
std::optional<Error> ReadVariable(const char* name, Range range, int64_t* into);

}  // namespace daisypond::yaml

#endif  // DAISYPOND_YAML_ENVIRONMENT_H_

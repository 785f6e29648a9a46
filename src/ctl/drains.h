#ifndef DAISYPOND_CTL_DRAINS_H_
#define DAISYPOND_CTL_DRAINS_H_

#include <cstdint>
#include <string>

#include "yaml/node.h"

namespace daisypond::ctl {

/// Whether a target is taken out of service.
enum class DrainState : uint8_t { kNotDrained, kDrained };

/// Adds a target to the file 90-drains.yaml of the folder or removes it from
/// there. Does not change files of other operators.
yaml::ParseResult<void> SetDrainState(const std::string& folder,
                                      const std::string& target,
                                      DrainState state);

}  // namespace daisypond::ctl

#endif  // DAISYPOND_CTL_DRAINS_H_

#ifndef DAISYPOND_CTL_DRAINS_H_
#define DAISYPOND_CTL_DRAINS_H_

#include <cstdint>
#include <string>

#include "yaml/node.h"

namespace daisypond::ctl {

enum class DrainState : uint8_t { kNotDrained, kDrained };

/// Adds a target to, or takes it from, the folder's file 90-drains.yaml. The
/// other operators' files stay as they are.
yaml::Parsed<void> SetDrainState(const std::string& folder,
                                 const std::string& target,
                                 DrainState state);

}  // namespace daisypond::ctl

#endif  // DAISYPOND_CTL_DRAINS_H_

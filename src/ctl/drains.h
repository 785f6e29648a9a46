#ifndef DAISYPOND_CTL_DRAINS_H_
#define DAISYPOND_CTL_DRAINS_H_

#include <cstdint>
#include <string>

#include "yaml/node.h"

namespace daisypond::ctl {

enum class Drained : uint8_t { kNo, kYes };

/// Adds a target to, or takes it from, the folder's file 90-drains.yaml. The
/// other operators' files stay as they are.
yaml::ParseResult<void> SetDrained(const std::string& folder,
                                   const std::string& target,
                                   Drained drained);

}  // namespace daisypond::ctl

#endif  // DAISYPOND_CTL_DRAINS_H_

#ifndef DAISYPOND_BASE_VERSION_H_
#define DAISYPOND_BASE_VERSION_H_

namespace daisypond::base {

inline constexpr char kVersion[] = "0.1.0";

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_VERSION_H_

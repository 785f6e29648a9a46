#ifndef DAISYPOND_BASE_NAME_TABLE_H_
#define DAISYPOND_BASE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace daisypond::base {

/// Maps the values of an enumeration to names and back. The values must be
/// consecutive from zero, and the names listed in the order of the values.
template <typename Enum, size_t N>
class NameTable {
 public:
  template <typename... Names>
  constexpr explicit NameTable(Names... names)
      : names_{std::string_view(names)...} {
    static_assert(sizeof...(Names) == N, "N must be the number of names");
  }

  constexpr std::string_view NameOf(Enum value) const {
    return names_[static_cast<size_t>(value)];
  }

  constexpr std::optional<Enum> ValueOf(std::string_view name) const {
    for (size_t i = 0; i < N; ++i) {
      if (names_[i] == name) {
        return static_cast<Enum>(i);
      }
    }
    return std::nullopt;
  }

  static constexpr size_t Size() { return N; }

 private:
  std::array<std::string_view, N> names_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_NAME_TABLE_H_

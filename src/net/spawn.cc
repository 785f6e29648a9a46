#include "net/spawn.h"

namespace daisypond::net {

std::string DescribeException(const std::exception_ptr& exception) {
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& it) {
    return it.what();
  } catch (...) {
    return "not a std::exception";
  }
}

}  // namespace daisypond::net

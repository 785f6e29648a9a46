#include "net/address.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace daisypond::net {

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto ip =
      boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), ec);
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec || error != std::errc() || end != digits.data() + digits.size() ||
      port == 0) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace daisypond::net

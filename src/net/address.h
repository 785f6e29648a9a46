#ifndef DAISYPOND_NET_ADDRESS_H_
#define DAISYPOND_NET_ADDRESS_H_

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace daisypond::net {

/// Parses "IP:PORT" with an IPv4 address. Returns an empty value for any other
/// text.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view text);

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_ADDRESS_H_

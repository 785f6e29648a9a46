#include "http/caller_sockets.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <optional>
#include <string_view>
#include <system_error>

#include <fmt/format.h>

namespace daisypond::http {

namespace {

struct Endpoint {
  std::string ip;
  int port = 0;
};

// `Query` is getsockname or getpeername.
template <auto Query>
std::optional<Endpoint> EndpointOf(int socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (Query(socket, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return std::nullopt;
  }
  std::array<char, INET6_ADDRSTRLEN> ip{};
  if (storage.ss_family == AF_INET) {
    sockaddr_in address{};
    std::memcpy(&address, &storage, sizeof(address));
    inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
    return Endpoint{ip.data(), ntohs(address.sin_port)};
  }
  if (storage.ss_family == AF_INET6) {
    sockaddr_in6 address{};
    std::memcpy(&address, &storage, sizeof(address));
    inet_ntop(AF_INET6, &address.sin6_addr, ip.data(), ip.size());
    return Endpoint{ip.data(), ntohs(address.sin6_port)};
  }
  return std::nullopt;
}

std::optional<CallerSocket> FindCaller(int socket, std::span<const int> ports) {
  const auto own = EndpointOf<getsockname>(socket);
  if (!own || std::ranges::find(ports, own->port) == ports.end()) {
    return std::nullopt;
  }
  const auto peer = EndpointOf<getpeername>(socket);
  if (!peer) {
    return std::nullopt;
  }
  CallerSocket caller;
  caller.address = fmt::format("{}:{}", peer->ip, peer->port);
  ioctl(socket, FIONREAD, &caller.unread_bytes);
  return caller;
}

void ActOn(int socket,
           std::span<const int> ports,
           const std::function<SocketAction(const CallerSocket&)>& choose) {
  if (!FindCaller(socket, ports)) {
    return;
  }
  // The other threads may close the descriptor and open it anew at any time; a
  // copy of it stays what it is.
  const int copy = dup(socket);
  if (copy < 0) {
    return;
  }
  const auto caller = FindCaller(copy, ports);
  const SocketAction action = caller ? choose(*caller) : SocketAction::kNone;
  if (action != SocketAction::kNone) {
    shutdown(copy, action == SocketAction::kEnd ? SHUT_RDWR : SHUT_RD);
  }
  close(copy);
}

}  // namespace

void ForEachCallerSocket(
    std::span<const int> ports,
    const std::function<SocketAction(const CallerSocket&)>& choose) {
  DIR* folder = opendir("/proc/self/fd");
  if (folder == nullptr) {
    return;
  }
  while (const dirent* it = readdir(folder)) {
    const std::string_view name = it->d_name;
    int fd = 0;
    const auto [end, ec] =
        std::from_chars(name.data(), name.data() + name.size(), fd);
    if (ec == std::errc()) {
      ActOn(fd, ports, choose);
    }
  }
  closedir(folder);
}

}  // namespace daisypond::http

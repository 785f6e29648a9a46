#ifndef DAISYPOND_TESTS_FAKE_TARGET_H_
#define DAISYPOND_TESTS_FAKE_TARGET_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisypond::tests {

/// One end of a loopback TCP connection, with blocking calls.
class LoopbackConnection {
 public:
  explicit LoopbackConnection(int fd) : fd_(fd) {}

  bool Send(const std::string& bytes) const {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  /// Reads up to and including `delimiter`. Returns all bytes received so far
  /// if the other end closes the connection or `timeout_ms` passes before that.
  /// An empty delimiter is never found.
  std::string ReadUntil(const std::string& delimiter, int timeout_ms) {
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(timeout_ms);
    while (delimiter.empty() ||
           received_.find(delimiter) == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          deadline - std::chrono::steady_clock::now());
      pollfd it{fd_, POLLIN, 0};
      char buf[4096];
      if (left.count() <= 0 ||
          poll(&it, 1, static_cast<int>(left.count())) <= 0) {
        break;
      }
      const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
      if (n <= 0) {
        is_closed_ = true;
        break;
      }
      received_.append(buf, static_cast<size_t>(n));
    }
    const size_t at =
        delimiter.empty() ? std::string::npos : received_.find(delimiter);
    const size_t n =
        at == std::string::npos ? received_.size() : at + delimiter.size();
    std::string result = received_.substr(0, n);
    received_.erase(0, n);
    return result;
  }

  /// Returns true if the other end closes the connection within `timeout_ms`.
  bool ClosesWithin(int timeout_ms) {
    ReadUntil("", timeout_ms);
    return is_closed_;
  }

  bool IsClosed() const { return is_closed_; }

  /// Makes the socket send a TCP reset when it is closed.
  void ResetOnClose() const {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

 private:
  int fd_;
  std::string received_;
  bool is_closed_ = false;
};

/// A target on a loopback port. A function that the test supplies answers the
/// requests. Does not read the bodies of requests.
class FakeTarget {
 public:
  /// Answers one request; `head` is its request line and header. The connection
  /// is closed when the function returns false.
  using RequestHandler = std::function<bool(LoopbackConnection& connection,
                                            const std::string& head)>;

  explicit FakeTarget(RequestHandler handler) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), n);
    listen(listener_, 16);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { AcceptConnections(); });
  }

  ~FakeTarget() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int it : open_sockets_) {
        shutdown(it, SHUT_RDWR);
      }
    }
    for (auto& it : connection_threads_) {
      it.join();
    }
  }

  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Request lines and headers of the requests received so far.
  std::vector<std::string> Requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  void AcceptConnections() {
    while (true) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      const std::lock_guard lock(mutex_);
      open_sockets_.push_back(fd);
      connection_threads_.emplace_back([this, fd] { ServeConnection(fd); });
    }
  }

  void ServeConnection(int fd) {
    constexpr int kReadTimeoutMs = 20'000;
    LoopbackConnection connection(fd);
    while (true) {
      const std::string head = connection.ReadUntil("\r\n\r\n", kReadTimeoutMs);
      if (!head.ends_with("\r\n\r\n")) {
        break;
      }
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(head);
      }
      if (!handler_(connection, head)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    std::erase(open_sockets_, fd);
    close(fd);
  }

  RequestHandler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::thread thread_;
  mutable std::mutex mutex_;
  std::vector<int> open_sockets_;
  std::list<std::thread> connection_threads_;
  std::vector<std::string> requests_;
};

}  // namespace daisypond::tests

#endif  // DAISYPOND_TESTS_FAKE_TARGET_H_

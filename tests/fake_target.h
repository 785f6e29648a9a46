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

/// One end of a loopback connection, with blocking calls.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {}

  bool Send(const std::string& bytes) const {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  /// Reads until `end` has come, the other end closed or `limit_ms` passed.
  std::string ReadUntil(const std::string& end, int limit_ms) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
    while (end.empty() || held_.find(end) == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          limit - std::chrono::steady_clock::now());
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
      held_.append(buf, static_cast<size_t>(n));
    }
    const size_t at = end.empty() ? std::string::npos : held_.find(end);
    const size_t n = at == std::string::npos ? held_.size() : at + end.size();
    std::string taken = held_.substr(0, n);
    held_.erase(0, n);
    return taken;
  }

  /// True when the other end closes within `limit_ms`.
  bool ClosesWithin(int limit_ms) {
    ReadUntil("", limit_ms);
    return is_closed_;
  }

  bool IsClosed() const { return is_closed_; }

  /// Ends with a reset.
  void Reset() const {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

 private:
  int fd_;
  std::string held_;
  bool is_closed_ = false;
};

/// A target on a loopback port that answers as a test's script says. Bodies
/// of requests are not read.
class FakeTarget {
 public:
  /// Answers one request; `head` is its header. False closes the connection.
  using Script = std::function<bool(Wire& wire, const std::string& head)>;

  explicit FakeTarget(Script script) : script_(std::move(script)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), n);
    listen(listener_, 16);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Accept(); });
  }

  ~FakeTarget() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int it : open_) {
        shutdown(it, SHUT_RDWR);
      }
    }
    for (auto& it : serving_) {
      it.join();
    }
  }

  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Headers of the requests that came, without probes.
  std::vector<std::string> Requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      const std::lock_guard lock(mutex_);
      open_.push_back(fd);
      serving_.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    constexpr int kLongMs = 20'000;
    Wire wire(fd);
    while (true) {
      const std::string head = wire.ReadUntil("\r\n\r\n", kLongMs);
      if (!head.ends_with("\r\n\r\n")) {
        break;
      }
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(head);
      }
      if (!script_(wire, head)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    std::erase(open_, fd);
    close(fd);
  }

  Script script_;
  int listener_ = -1;
  int port_ = 0;
  std::thread thread_;
  mutable std::mutex mutex_;
  std::vector<int> open_;
  std::list<std::thread> serving_;
  std::vector<std::string> requests_;
};

}  // namespace daisypond::tests

#endif  // DAISYPOND_TESTS_FAKE_TARGET_H_

#ifndef DAISYPOND_HTTP_CLIENT_H_
#define DAISYPOND_HTTP_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "http/message.h"

namespace daisypond::http {

/// Identifies a running exchange (one request and its response) of a Client.
struct ExchangeId {
  uint64_t value = 0;
};

/// An HTTP/1.1 client based on libcurl. One thread runs all exchanges and their
/// callbacks, so callbacks must not block. A response whose head is not valid
/// HTTP ends as TransferResult::kBroken.
class Client {
 public:
  /// Called for each chunk of the response body as it arrives.
  using OnChunk = std::function<void(int status, std::string_view bytes)>;
  /// Called once when the exchange has ended, unless it was cancelled. The body
  /// of `response` is empty when an OnChunk callback was set.
  using OnDone = std::function<void(ClientResponse response)>;

  Client();
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts an exchange. When `on_chunk` is empty, `on_done` gets the whole
  /// body.
  ExchangeId Start(ClientRequest request, OnChunk on_chunk, OnDone on_done);

  /// Cancels an exchange and closes its connection. The client's thread does
  /// this later, so callbacks may still run shortly after Cancel() returns.
  void Cancel(ExchangeId id);

  /// Runs an exchange and blocks until it has ended.
  ClientResponse Fetch(ClientRequest request);

 private:
  struct Exchange;

  void Run();
  void StartQueuedExchanges();
  void RemoveCancelledExchanges();
  void CompleteFinishedExchanges();
  void FinishExchange(uint64_t id, ClientResponse response);
  static size_t OnHeadLine(char* data, size_t size, size_t n, void* exchange);
  static size_t OnBody(char* data, size_t size, size_t n, void* exchange);

  void* multi_ = nullptr;
  std::atomic<bool> is_stopping_ = false;
  std::mutex mutex_;
  uint64_t next_id_ = 1;
  std::vector<std::unique_ptr<Exchange>> queued_;
  std::vector<uint64_t> cancelled_;
  // Only accessed by the client's thread.
  std::unordered_map<uint64_t, std::unique_ptr<Exchange>> running_;
  std::thread thread_;
};

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_CLIENT_H_

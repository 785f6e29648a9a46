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

/// Names an exchange between Client::Start and its end.
struct ExchangeId {
  uint64_t value = 0;
};

/// An HTTP/1.1 client on libcurl. One thread drives every exchange; callbacks
/// run on it and must not block.
class Client {
 public:
  /// Receives a piece of the answer's body.
  using OnChunk = std::function<void(int status, std::string_view bytes)>;
  /// Receives the end of the exchange; the body is empty when OnChunk is set.
  using OnDone = std::function<void(ClientResponse response)>;

  Client();
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts an exchange. `on_chunk` may be empty: then the whole body goes to
  /// `on_done`.
  ExchangeId Start(ClientRequest request, OnChunk on_chunk, OnDone on_done);

  /// Closes the exchange's connection. Its callbacks may still run once, on
  /// the client's thread, while this call returns.
  void Cancel(ExchangeId id);

  /// Runs a whole exchange and waits for its end.
  ClientResponse Fetch(ClientRequest request);

 private:
  struct Exchange;

  void Run();
  void StartQueued();
  void RemoveCancelled();
  void CompleteFinished();
  void Finish(uint64_t id, ClientResponse response);
  static size_t OnBody(char* data, size_t size, size_t n, void* exchange);

  void* multi_ = nullptr;
  std::atomic<bool> is_stopping_ = false;
  std::mutex mutex_;
  uint64_t next_id_ = 1;
  std::vector<std::unique_ptr<Exchange>> queued_;
  std::vector<uint64_t> cancelled_;
  // Touched by the client's thread only.
  std::unordered_map<uint64_t, std::unique_ptr<Exchange>> running_;
  std::thread thread_;
};

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_CLIENT_H_

#include "http/client.h"

#include <algorithm>
#include <future>
#include <utility>

#include <curl/curl.h>

#include "http/response_head_checker.h"

namespace daisypond::http {

namespace {

constexpr int kPollTimeoutMs = 200;
constexpr long kMaximumIdleConnections = 64;

TransferResult TransferResultOf(CURLcode ec) {
  switch (ec) {
    case CURLE_OK:
      return TransferResult::kComplete;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      return TransferResult::kNotConnected;
    case CURLE_OPERATION_TIMEDOUT:
      return TransferResult::kTimedOut;
    default:
      return TransferResult::kBroken;
  }
}

}  // namespace

struct Client::Exchange {
  uint64_t id = 0;
  ClientRequest request;
  OnChunk on_chunk;
  OnDone on_done;
  ClientResponse response;
  ResponseHeadChecker head_checker;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;

  ~Exchange() {
    curl_slist_free_all(headers);
    if (easy != nullptr) {
      curl_easy_cleanup(easy);
    }
  }

  /// Creates and configures the libcurl handle. Runs on the client's thread.
  void Prepare();
};

void Client::Exchange::Prepare() {
  easy = curl_easy_init();
  const std::string url = "http://" + request.address + request.path;
  for (const Header& it : request.headers) {
    headers = curl_slist_append(headers, (it.name + ": " + it.value).c_str());
  }
  headers = curl_slist_append(headers, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Client::OnHeadLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Client::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(request.connect_timeout.count));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.total_timeout.count));
  if (request.connection_use == ConnectionUse::kNew) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
  }
}

Client::Client() : multi_(curl_multi_init()) {
  curl_multi_setopt(static_cast<CURLM*>(multi_), CURLMOPT_MAXCONNECTS,
                    kMaximumIdleConnections);
  thread_ = std::thread([this] { Run(); });
}

Client::~Client() {
  is_stopping_ = true;
  curl_multi_wakeup(static_cast<CURLM*>(multi_));
  thread_.join();
  curl_multi_cleanup(static_cast<CURLM*>(multi_));
}

ExchangeId Client::Start(ClientRequest request,
                         OnChunk on_chunk,
                         OnDone on_done) {
  auto exchange = std::make_unique<Exchange>();
  exchange->request = std::move(request);
  exchange->on_chunk = std::move(on_chunk);
  exchange->on_done = std::move(on_done);
  uint64_t id = 0;
  {
    const std::lock_guard lock(mutex_);
    id = next_id_++;
    exchange->id = id;
    queued_.push_back(std::move(exchange));
  }
  curl_multi_wakeup(static_cast<CURLM*>(multi_));
  return {id};
}

void Client::Cancel(ExchangeId id) {
  {
    const std::lock_guard lock(mutex_);
    cancelled_.push_back(id.value);
  }
  curl_multi_wakeup(static_cast<CURLM*>(multi_));
}

ClientResponse Client::Fetch(ClientRequest request) {
  auto promise = std::make_shared<std::promise<ClientResponse>>();
  std::future<ClientResponse> answer = promise->get_future();
  Start(std::move(request), nullptr, [promise](ClientResponse response) {
    promise->set_value(std::move(response));
  });
  return answer.get();
}

size_t Client::OnHeadLine(char* data, size_t size, size_t n, void* exchange) {
  auto* it = static_cast<Exchange*>(exchange);
  const size_t bytes = size * n;
  // Another number than that of the bytes fails the transfer.
  return it->head_checker.CheckLine({data, bytes}) ? bytes : bytes + 1;
}

size_t Client::OnBody(char* data, size_t size, size_t n, void* exchange) {
  auto* it = static_cast<Exchange*>(exchange);
  const size_t bytes = size * n;
  if (!it->on_chunk) {
    it->response.body.append(data, bytes);
    return bytes;
  }
  long status = 0;
  curl_easy_getinfo(it->easy, CURLINFO_RESPONSE_CODE, &status);
  it->on_chunk(static_cast<int>(status), std::string_view(data, bytes));
  return bytes;
}

void Client::StartQueuedExchanges() {
  std::vector<std::unique_ptr<Exchange>> queued;
  {
    const std::lock_guard lock(mutex_);
    queued.swap(queued_);
  }
  for (auto& it : queued) {
    it->Prepare();
    curl_multi_add_handle(static_cast<CURLM*>(multi_), it->easy);
    const uint64_t id = it->id;
    running_[id] = std::move(it);
  }
}

void Client::RemoveCancelledExchanges() {
  std::vector<uint64_t> cancelled;
  {
    const std::lock_guard lock(mutex_);
    cancelled.swap(cancelled_);
  }
  for (const uint64_t id : cancelled) {
    const auto it = running_.find(id);
    if (it == running_.end()) {
      continue;
    }
    curl_multi_remove_handle(static_cast<CURLM*>(multi_), it->second->easy);
    running_.erase(it);
  }
}

void Client::FinishExchange(uint64_t id, ClientResponse response) {
  const auto it = running_.find(id);
  if (it == running_.end()) {
    return;
  }
  const std::unique_ptr<Exchange> exchange = std::move(it->second);
  running_.erase(it);
  curl_multi_remove_handle(static_cast<CURLM*>(multi_), exchange->easy);
  exchange->on_done(std::move(response));
}

void Client::CompleteFinishedExchanges() {
  int left = 0;
  while (CURLMsg* message =
             curl_multi_info_read(static_cast<CURLM*>(multi_), &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Exchange* exchange = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
    long status = 0;
    curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
    curl_off_t connect_time = 0;
    curl_easy_getinfo(message->easy_handle, CURLINFO_CONNECT_TIME_T,
                      &connect_time);
    exchange->response.transfer_result = TransferResultOf(message->data.result);
    exchange->response.status = static_cast<int>(status);
    // libcurl reports a connect time of zero when the connection was not
    // established. Nothing was sent in this case.
    if (exchange->response.transfer_result == TransferResult::kTimedOut &&
        connect_time == 0) {
      exchange->response.transfer_result = TransferResult::kNotConnected;
    }
    FinishExchange(exchange->id, std::move(exchange->response));
  }
}

void Client::Run() {
  while (!is_stopping_) {
    StartQueuedExchanges();
    RemoveCancelledExchanges();
    int n = 0;
    curl_multi_perform(static_cast<CURLM*>(multi_), &n);
    CompleteFinishedExchanges();
    curl_multi_poll(static_cast<CURLM*>(multi_), nullptr, 0, kPollTimeoutMs,
                    nullptr);
  }
  StartQueuedExchanges();
  while (!running_.empty()) {
    FinishExchange(running_.begin()->first, ClientResponse{});
  }
}

}  // namespace daisypond::http

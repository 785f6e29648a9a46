#include "http/server.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <civetweb.h>
#include <fmt/format.h>

#include "base/log.h"
#include "http/caller_sockets.h"
#include "http/descriptors.h"

namespace daisypond::http {

namespace {

constexpr size_t kReadPieceBytes = 2048;
constexpr size_t kFirstChunkedBytes = 16u << 10;
// While a buffer grows, the old and the new one exist.
constexpr size_t kGrowthParts = 2;
constexpr base::Millis kRoomPollPeriod{25};
constexpr base::Millis kWatchPeriod{250};
constexpr base::Millis kLogPeriod{1000};
constexpr int kMaximumPorts = 4;

ConnectionTable::ConnectionId IdOf(const mg_connection* connection) {
  return reinterpret_cast<ConnectionTable::ConnectionId>(connection);
}

std::string FormatStatusLineAndHeaders(const ServerResponse& response) {
  std::string buf = fmt::format(
      "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nCache-Control: no-store\r\n"
      "Connection: close\r\n",
      response.status, mg_get_response_code_text(nullptr, response.status),
      response.content_type);
  for (const Header& it : response.headers) {
    buf += fmt::format("{}: {}\r\n", it.name, it.value);
  }
  return buf;
}

std::string AddressOf(const mg_request_info& info) {
  return fmt::format("{}:{}", info.remote_addr, info.remote_port);
}

ServerRequest ParseRequest(const mg_request_info& info) {
  ServerRequest request;
  request.method = info.request_method;
  request.path = info.local_uri;
  request.query = info.query_string == nullptr ? "" : info.query_string;
  for (int i = 0; i < info.num_headers; ++i) {
    request.headers.push_back(
        {info.http_headers[i].name, info.http_headers[i].value});
  }
  return request;
}

// RFC 9112, section 6.3: a length that is stated in several ways is an attack
// on whatever stands between caller and server.
bool IsLengthClear(const ServerRequest& request) {
  int n = 0;
  for (const Header& it : request.headers) {
    n += EqualsIgnoringCase(it.name, "Content-Length") ||
                 EqualsIgnoringCase(it.name, "Transfer-Encoding")
             ? 1
             : 0;
  }
  return n <= 1;
}

int StatusOf(BodyState state) {
  switch (state) {
    case BodyState::kWhole:
      return 200;
    case BodyState::kTooLarge:
      return 413;
    case BodyState::kUnclearLength:
    case BodyState::kUnfinished:
      return 400;
    case BodyState::kTimedOut:
      return 408;
    case BodyState::kNoRoom:
    case BodyState::kNoThread:
      return 503;
  }
  return 500;
}

void SendStatusOnly(const ServerRequest& request, ResponseStream& stream) {
  ServerResponse response;
  response.status = StatusOf(request.body_state);
  response.content_type = "text/plain";
  stream.Send(response);
}

ThreadSharesOptions SharesOptionsOf(const ServerOptions& options) {
  ThreadSharesOptions shares;
  shares.threads = static_cast<size_t>(options.threads);
  shares.small_body_bytes = options.room.small_bytes;
  shares.stall_time = options.caller_timeout;
  shares.body_time = options.body_timeout;
  return shares;
}

intake::RoomPlan RoomPlanOf(const ServerOptions& options) {
  intake::RoomPlan plan = options.room;
  // A single body inside the limits is served in any case.
  plan.largest_bytes = std::max(
      plan.largest_bytes, kGrowthParts * (options.maximum_body_bytes + 1));
  return plan;
}

}  // namespace

bool ResponseStream::Begin(const ServerResponse& response) {
  has_begun_ = true;
  return Write(FormatStatusLineAndHeaders(response) + "\r\n");
}

bool ResponseStream::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::string_view piece = bytes.substr(0, kWritePieceBytes);
    if (!server_->WritePiece(connection_, piece)) {
      return false;
    }
    bytes.remove_prefix(piece.size());
  }
  return true;
}

bool ResponseStream::IsThreadWanted() const {
  return server_->are_threads_wanted_;
}

bool ResponseStream::Send(const ServerResponse& response) {
  has_begun_ = true;
  return Write(FormatStatusLineAndHeaders(response) +
               fmt::format("Content-Length: {}\r\n\r\n", response.body.size()) +
               response.body);
}

Server::Server(ServerOptions options, Handler handler, Handler unread_handler)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      unread_handler_(unread_handler ? std::move(unread_handler)
                                     : Handler(&SendStatusOnly)),
      connections_(static_cast<size_t>(options_.threads)),
      shares_(SharesOptionsOf(options_)),
      room_(RoomPlanOf(options_)) {
  const std::string threads = std::to_string(options_.threads);
  const std::string timeout = std::to_string(options_.caller_timeout.count);
  const std::string queue = std::to_string(options_.queued_connections.value_or(
      QueueLength(static_cast<size_t>(options_.threads), DescriptorLimit())));
  std::vector<const char*> settings = {"num_threads",        threads.c_str(),
                                       "request_timeout_ms", timeout.c_str(),
                                       "tcp_nodelay",        "1",
                                       "enable_keep_alive",  "no",
                                       "max_request_size",   "16384",
                                       "listen_backlog",     "1024",
                                       "connection_queue",   queue.c_str()};
  settings.push_back("listening_ports");
  settings.push_back(options_.address.c_str());
  settings.push_back(nullptr);
  mg_init_library(0);
  mg_callbacks callbacks{};
  callbacks.init_connection = &Server::OnConnectionOpened;
  callbacks.connection_closed = &Server::OnConnectionClosed;
  context_ = mg_start(&callbacks, this, settings.data());
  if (context_ == nullptr) {
    return;
  }
  mg_set_request_handler(context_, "**", &Server::OnRequest, this);
  std::array<mg_server_port, kMaximumPorts> ports{};
  const int n = mg_get_server_ports(context_, kMaximumPorts, ports.data());
  for (int i = 0; i < n; ++i) {
    ports_.push_back(ports[i].port);
  }
  watch_ = std::thread([this] { RunWatch(); });
}

Server::~Server() {
  if (context_ == nullptr) {
    return;
  }
  mg_stop(context_);
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  stop_requested_.notify_one();
  watch_.join();
}

int Server::Port() const {
  std::array<mg_server_port, 1> ports{};
  mg_get_server_ports(context_, 1, ports.data());
  return ports[0].port;
}

int64_t Server::OpenRequests() const {
  const std::lock_guard lock(mutex_);
  return connections_.OpenRequests();
}

bool Server::IsIdle() const {
  const std::lock_guard lock(mutex_);
  return connections_.IsIdle(base::Clock::Now());
}

bool Server::MayClose(base::Millis began_at) const {
  const std::lock_guard lock(mutex_);
  return connections_.MayClose(began_at, base::Clock::Now());
}

int Server::OnConnectionOpened(const mg_connection* connection, void** data) {
  auto* self = static_cast<Server*>(mg_get_user_context_data(connection));
  const std::lock_guard lock(self->mutex_);
  self->connections_.Add(IdOf(connection), base::Clock::Now());
  return 0;
}

void Server::OnConnectionClosed(const mg_connection* connection) {
  auto* self = static_cast<Server*>(mg_get_user_context_data(connection));
  const std::lock_guard lock(self->mutex_);
  self->connections_.Remove(IdOf(connection), base::Clock::Now());
  self->shares_.Remove(IdOf(connection));
  self->heard_.erase(IdOf(connection));
}

int Server::OnRequest(mg_connection* connection, void* server) {
  auto* self = static_cast<Server*>(server);
  ServerRequest request = ParseRequest(*mg_get_request_info(connection));
  self->BeginRequest(connection, request);
  if (request.method != "GET") {
    request.body_state = self->ReadBody(connection, &request);
    if (request.body_state != BodyState::kWhole) {
      request.body = std::string();
    }
  }
  ResponseStream stream(connection, self);
  if (request.body_state == BodyState::kWhole) {
    self->handler_(request, stream);
  } else {
    self->CountUnread(request.body_state);
    self->unread_handler_(request, stream);
  }
  self->EndRequest(IdOf(connection));
  constexpr int kRequestHandled = 200;
  return kRequestHandled;
}

void Server::BeginRequest(mg_connection* connection,
                          const ServerRequest& request) {
  const std::string address = AddressOf(*mg_get_request_info(connection));
  const std::lock_guard lock(mutex_);
  connections_.BeginRequest(IdOf(connection), request.method == "GET"
                                                  ? RequestKind::kQuery
                                                  : RequestKind::kWork);
  heard_[IdOf(connection)] = address;
}

void Server::EndRequest(CallerId id) {
  const std::lock_guard lock(mutex_);
  shares_.OnAnswered(id, base::Clock::Now());
  const auto it = holders_.find(id);
  if (it != holders_.end()) {
    room_.Remove(it->second);
    holders_.erase(it);
  }
}

BodyState Server::ReadBody(mg_connection* connection, ServerRequest* request) {
  const mg_request_info* info = mg_get_request_info(connection);
  if (!IsLengthClear(*request)) {
    return BodyState::kUnclearLength;
  }
  const bool is_chunked = !request->HeaderValue("Transfer-Encoding").empty();
  if (!is_chunked && info->content_length <= 0) {
    return BodyState::kWhole;
  }
  std::optional<size_t> announced;
  if (!is_chunked) {
    announced = static_cast<size_t>(info->content_length);
    if (*announced > options_.maximum_body_bytes) {
      return BodyState::kTooLarge;
    }
  }
  const std::string owner = options_.owner_of
                                ? options_.owner_of(*request, info->remote_addr)
                                : std::string(info->remote_addr);
  Body body{.caller = IdOf(connection)};
  {
    const base::Millis now = base::Clock::Now();
    const std::lock_guard lock(mutex_);
    if (!shares_.BeginBody(body.caller, announced, now)) {
      return BodyState::kNoThread;
    }
    body.holder = room_.Add(intake::RoomKind::kBody, owner, now);
    holders_[body.caller] = body.holder;
  }
  const BodyState state =
      announced ? ReadAnnouncedBody(connection, *announced, body, request)
                : ReadChunkedBody(connection, body, request);
  const std::lock_guard lock(mutex_);
  shares_.EndBody(body.caller);
  room_.SetPace(body.holder, intake::RoomPace::kSystem, base::Clock::Now());
  return state;
}

BodyState Server::ReadAnnouncedBody(mg_connection* connection,
                                    size_t bytes,
                                    const Body& body,
                                    ServerRequest* request) {
  if (!TakeRoom(body, bytes)) {
    return BodyState::kNoRoom;
  }
  request->body.reserve(bytes);
  std::array<char, kReadPieceBytes> buf{};
  while (request->body.size() < bytes) {
    const int n = mg_read(connection, buf.data(),
                          std::min(buf.size(), bytes - request->body.size()));
    if (n < 0) {
      return StateOfBrokenBody(body);
    }
    if (n == 0) {
      return BodyState::kTimedOut;
    }
    request->body.append(buf.data(), static_cast<size_t>(n));
    OnBytes(body, static_cast<size_t>(n));
  }
  return BodyState::kWhole;
}

BodyState Server::ReadChunkedBody(mg_connection* connection,
                                  const Body& body,
                                  ServerRequest* request) {
  std::array<char, kReadPieceBytes> buf{};
  size_t capacity = 0;
  while (true) {
    const int n = mg_read(connection, buf.data(), buf.size());
    if (n < 0) {
      return StateOfBrokenBody(body);
    }
    if (n == 0) {
      return BodyState::kWhole;
    }
    const size_t size = request->body.size() + static_cast<size_t>(n);
    if (size > options_.maximum_body_bytes) {
      return BodyState::kTooLarge;
    }
    if (size > capacity) {
      const size_t grown = std::min(
          std::max({capacity * kGrowthParts, kFirstChunkedBytes, size}),
          std::max(size, options_.maximum_body_bytes));
      if (!TakeRoom(body, capacity + grown)) {
        return BodyState::kNoRoom;
      }
      request->body.reserve(grown);
      TakeRoom(body, grown);
      capacity = grown;
    }
    request->body.append(buf.data(), static_cast<size_t>(n));
    OnBytes(body, static_cast<size_t>(n));
  }
}

bool Server::TakeRoom(const Body& body, size_t bytes) {
  while (true) {
    {
      const base::Millis now = base::Clock::Now();
      const std::lock_guard lock(mutex_);
      if (is_stopping_ || shares_.IsEnded(body.caller)) {
        return false;
      }
      const auto decision = room_.Resize(body.holder, bytes, now);
      if (decision != intake::RoomDecision::kWait) {
        shares_.OnRoom(body.caller, now);
        return decision == intake::RoomDecision::kGranted;
      }
    }
    std::this_thread::sleep_for(kRoomPollPeriod.ToChrono());
  }
}

void Server::OnBytes(const Body& body, size_t n) {
  const base::Millis now = base::Clock::Now();
  const std::lock_guard lock(mutex_);
  shares_.OnBytes(body.caller, n, now);
  room_.OnProgress(body.holder, n, now);
}

BodyState Server::StateOfBrokenBody(const Body& body) const {
  const std::lock_guard lock(mutex_);
  return shares_.IsEnded(body.caller) ? BodyState::kTimedOut
                                      : BodyState::kUnfinished;
}

void Server::CountUnread(BodyState state) {
  if (state != BodyState::kNoRoom && state != BodyState::kNoThread) {
    return;
  }
  const std::lock_guard lock(mutex_);
  ++closed_.refused;
  if (options_.metrics != nullptr) {
    options_.metrics->Add(base::Counter::kRefusedForRoom);
  }
}

bool Server::WritePiece(mg_connection* connection, std::string_view piece) {
  {
    const std::lock_guard lock(mutex_);
    shares_.BeginWrite(IdOf(connection), base::Clock::Now());
  }
  const int n = mg_write(connection, piece.data(), piece.size());
  const std::lock_guard lock(mutex_);
  shares_.EndWrite(IdOf(connection));
  return n == static_cast<int>(piece.size());
}

void Server::RunWatch() {
  std::unique_lock lock(mutex_);
  while (!stop_requested_.wait_for(lock, kWatchPeriod.ToChrono(),
                                   [this] { return is_stopping_; })) {
    const base::Millis now = base::Clock::Now();
    EndOverdueCallers(now);
    ReportCallers(now);
  }
}

void Server::EndOverdueCallers(base::Millis now) {
  const WaitingCallers waiting = FindWaitingCallers();
  are_threads_wanted_ = waiting.n > 0;
  SocketActions actions;
  for (const CallerId it : shares_.TakeOverdue(waiting.n, now)) {
    actions[heard_[it]] = shares_.IsReadingBody(it) ? SocketAction::kEndInput
                                                    : SocketAction::kEnd;
    ++closed_.slow;
  }
  while (const auto holder = room_.NextToClose(now)) {
    for (const auto& [caller, id] : holders_) {
      if (id == *holder && shares_.End(caller)) {
        actions[heard_[caller]] = SocketAction::kEndInput;
        ++closed_.slow;
      }
    }
  }
  for (const std::string& it : unheard_.TakeOverdue(waiting.unheard, now)) {
    actions[it] = SocketAction::kEnd;
    ++closed_.unheard;
  }
  if (actions.empty()) {
    return;
  }
  ForEachCallerSocket(ports_, [&](const CallerSocket& it) {
    const auto action = actions.find(it.address);
    return action == actions.end() ? SocketAction::kNone : action->second;
  });
}

Server::WaitingCallers Server::FindWaitingCallers() const {
  if (!connections_.AreAllThreadsInUse()) {
    return {};
  }
  std::set<std::string> heard;
  for (const auto& [id, address] : heard_) {
    heard.insert(address);
  }
  WaitingCallers waiting;
  size_t n_open = 0;
  ForEachCallerSocket(ports_, [&](const CallerSocket& it) {
    ++n_open;
    if (it.unread_bytes == 0 && !heard.contains(it.address)) {
      waiting.unheard.insert(it.address);
    }
    return SocketAction::kNone;
  });
  if (n_open <= connections_.Count()) {
    return {};
  }
  waiting.n = n_open - connections_.Count();
  return waiting;
}

void Server::ReportCallers(base::Millis now) {
  if (options_.metrics != nullptr) {
    options_.metrics->Set(base::Gauge::kCallerBodyBytes,
                          static_cast<int64_t>(room_.Held()));
    options_.metrics->Set(base::Gauge::kWaitingForRoom,
                          static_cast<int64_t>(room_.WaitingCount()));
  }
  const int64_t n = closed_.unheard + closed_.slow + closed_.refused;
  if (n == 0 || now - closed_logged_at_ < kLogPeriod) {
    return;
  }
  base::Log(base::LogLevel::kWarning, "callers_ended",
            {{"unheard", closed_.unheard},
             {"slow", closed_.slow},
             {"refused", closed_.refused},
             {"open", heard_.size()},
             {"body_bytes", room_.Held()},
             {"all_threads_in_use", connections_.AreAllThreadsInUse()}});
  if (options_.metrics != nullptr) {
    options_.metrics->Add(base::Counter::kClosedForSlowness,
                          closed_.unheard + closed_.slow);
  }
  closed_ = {};
  closed_logged_at_ = now;
}

}  // namespace daisypond::http

#include "store/store_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/json.h"

namespace daisypond::store {

namespace {

using base::Json;

constexpr int kHttpConflict = 409;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpTooManyRequests = 429;

/// Maps 503 and 429 to kNotReached, because with these statuses the service
/// guarantees that it did not carry out the request.
StoreOutcome ToStoreOutcome(const http::ClientResponse& response) {
  if (response.IsSuccess()) {
    return StoreOutcome::kCommitted;
  }
  if (response.transfer_result == http::TransferResult::kNotConnected) {
    return StoreOutcome::kNotReached;
  }
  if (response.transfer_result != http::TransferResult::kComplete) {
    return StoreOutcome::kUnknown;
  }
  switch (response.status) {
    case kHttpConflict:
      return StoreOutcome::kConflict;
    case kHttpUnavailable:
    case kHttpTooManyRequests:
      return StoreOutcome::kNotReached;
    default:
      return StoreOutcome::kUnknown;
  }
}

std::string MakeReadBody(const std::vector<std::string>& keys) {
  return Json{{"keys", keys}}.dump();
}

ReadResult ParseReadResponse(const http::ClientResponse& response,
                             const std::vector<std::string>& keys) {
  ReadResult result;
  result.outcome = ToStoreOutcome(response);
  if (!result.IsRead()) {
    return result;
  }
  const Json body = base::ParseJson(response.body);
  for (const Json& it : base::ArrayField(body, "rows")) {
    result.rows.push_back(
        {base::StringField(it, "key"), base::StringField(it, "value"),
         static_cast<uint64_t>(base::IntegerField(it, "version"))});
  }
  if (result.rows.size() != keys.size()) {
    result.outcome = StoreOutcome::kUnknown;
  }
  return result;
}

std::optional<std::vector<ListedInstance>> ParseInstances(
    const http::ClientResponse& response) {
  if (!response.IsSuccess()) {
    return std::nullopt;
  }
  std::vector<ListedInstance> list;
  const Json body = base::ParseJson(response.body);
  for (const Json& it : base::ArrayField(body, "instances")) {
    list.push_back({base::StringField(it, "name"),
                    base::StringField(it, "peer_address"),
                    base::StringField(it, "failure_domain"),
                    base::BoolField(it, "leaving")});
  }
  return list;
}

}  // namespace

StoreClient::StoreClient(http::Client* client,
                         std::string address,
                         base::Millis timeout)
    : client_(client), address_(std::move(address)), timeout_(timeout) {}

http::ClientRequest StoreClient::MakeRequest(std::string method,
                                             std::string path,
                                             std::string body) const {
  http::ClientRequest request;
  request.method = std::move(method);
  request.address = address_;
  request.path = std::move(path);
  request.body = std::move(body);
  request.connect_timeout = timeout_;
  request.total_timeout = timeout_;
  return request;
}

TransactionResult StoreClient::Transact(
    const std::vector<ConditionalWrite>& writes) {
  Json list = Json::array();
  for (const ConditionalWrite& it : writes) {
    list.push_back({{"key", it.key},
                    {"value", it.value},
                    {"expected_version", it.expected_version}});
  }
  const auto response = client_->Fetch(
      MakeRequest("POST", "/table/transact", Json{{"writes", list}}.dump()));
  TransactionResult result;
  result.outcome = ToStoreOutcome(response);
  if (result.outcome == StoreOutcome::kConflict) {
    const Json body = base::ParseJson(response.body);
    for (const Json& it : base::ArrayField(body, "conflicts")) {
      result.conflicts.push_back(it.is_string() ? it.get<std::string>() : "");
    }
  }
  return result;
}

ReadResult StoreClient::Read(const std::vector<std::string>& keys) {
  const auto response =
      client_->Fetch(MakeRequest("POST", "/table/read", MakeReadBody(keys)));
  return ParseReadResponse(response, keys);
}

void StoreClient::ReadAsync(const std::vector<std::string>& keys,
                            std::function<void(ReadResult)> done) {
  client_->Start(
      MakeRequest("POST", "/table/read", MakeReadBody(keys)), nullptr,
      [keys, done = std::move(done)](const http::ClientResponse& response) {
        done(ParseReadResponse(response, keys));
      });
}

StoreOutcome StoreClient::PutObject(const std::string& name,
                                    const std::string& content) {
  return ToStoreOutcome(
      client_->Fetch(MakeRequest("PUT", "/objects/" + name, content)));
}

std::optional<std::string> StoreClient::GetObject(const std::string& name) {
  auto response = client_->Fetch(MakeRequest("GET", "/objects/" + name, ""));
  if (!response.IsSuccess()) {
    return std::nullopt;
  }
  return std::move(response.body);
}

void StoreClient::GetObjectAsync(
    const std::string& name,
    std::function<void(std::optional<std::string>)> done) {
  client_->Start(MakeRequest("GET", "/objects/" + name, ""), nullptr,
                 [done = std::move(done)](http::ClientResponse response) {
                   done(response.IsSuccess() ? std::optional<std::string>(
                                                   std::move(response.body))
                                             : std::nullopt);
                 });
}

void StoreClient::ListInstancesAsync(
    std::function<void(std::optional<std::vector<ListedInstance>>)> done) {
  client_->Start(MakeRequest("GET", "/instances", ""), nullptr,
                 [done = std::move(done)](const http::ClientResponse& it) {
                   done(ParseInstances(it));
                 });
}

}  // namespace daisypond::store

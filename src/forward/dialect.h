#ifndef DAISYPOND_FORWARD_DIALECT_H_
#define DAISYPOND_FORWARD_DIALECT_H_

#include <concepts>
#include <optional>
#include <string>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "forward/message.h"

namespace daisypond::forward {

namespace bhttp = boost::beast::http;

/// Translates between the HTTP header fields, paths and bodies of one
/// deployment and the structs in message.h. A dialect contains no forwarding
/// logic.
template <typename T>
concept Dialect = requires(const bhttp::fields& fields,
                           bhttp::fields& into,
                           const SendMetadata& send,
                           const std::string& text,
                           unsigned status) {
  // Path at which an engine returns its EngineReport. Requests for this path
  // also serve as probes: a live target answers them at once, even when all its
  // slots are taken.
  { T::kEngineReportPath } -> std::convertible_to<const char*>;
  // Path of the request that makes an engine copy the KV cache of one of its
  // runs to another engine.
  { T::kKvCopyPath } -> std::convertible_to<const char*>;
  { T::KvCopyRequestBody(text, text) } -> std::same_as<std::string>;
  { T::KvCopyDeletePath(text) } -> std::same_as<std::string>;
  { T::ParseKvCopyId(text) } -> std::same_as<std::optional<std::string>>;
  // Parses the body of the response to kEngineReportPath; empty when the body
  // is malformed.
  { T::ParseEngineReport(text) } -> std::same_as<std::optional<EngineReport>>;
  { T::ParseRequestHeader(fields) } -> std::same_as<RequestMetadata>;
  // Removes from a caller's header the API key and the fields that only this
  // system may send to targets.
  { T::RemoveReservedFields(into) } -> std::same_as<void>;
  { T::WriteSendFields(send, into) } -> std::same_as<void>;
  { T::ParseResponseHeader(status, fields) } -> std::same_as<ResponseMetadata>;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_DIALECT_H_

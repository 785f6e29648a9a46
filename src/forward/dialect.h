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

/// How callers' and targets' headers are spelled. Only translates.
template <typename T>
concept Dialect = requires(const bhttp::fields& fields,
                           bhttp::fields& into,
                           const SendMetadata& send,
                           const std::string& text,
                           unsigned status) {
  // Where a target answers at once, without a place, while it lives.
  { T::kEngineReportPath } -> std::convertible_to<const char*>;
  // Asks an engine to copy the memory of one of its runs to another engine.
  { T::kKvCopyPath } -> std::convertible_to<const char*>;
  { T::KvCopyRequestBody(text, text) } -> std::same_as<std::string>;
  { T::KvCopyDeletePath(text) } -> std::same_as<std::string>;
  { T::ParseKvCopyId(text) } -> std::same_as<std::optional<std::string>>;
  // What kEngineReportPath answers; empty when it can't be read.
  { T::ParseEngineReport(text) } -> std::same_as<std::optional<EngineReport>>;
  { T::ParseRequestHeader(fields) } -> std::same_as<RequestMetadata>;
  // Removes what only this system may say to a target, and the API key.
  { T::RemoveReservedFields(into) } -> std::same_as<void>;
  { T::WriteSendFields(send, into) } -> std::same_as<void>;
  { T::ParseResponseHeader(status, fields) } -> std::same_as<ResponseMetadata>;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_DIALECT_H_

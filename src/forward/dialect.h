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
                           const SendFacts& send,
                           const std::string& text,
                           unsigned status) {
  // Where a target answers at once, without a place, while it lives.
  { T::kReportTarget } -> std::convertible_to<const char*>;
  // Asks an engine to copy the memory of one of its runs to another engine.
  { T::kCopyRunTarget } -> std::convertible_to<const char*>;
  { T::CopyRunBody(text, text) } -> std::same_as<std::string>;
  { T::DropCopyTarget(text) } -> std::same_as<std::string>;
  { T::ReadCopyId(text) } -> std::same_as<std::optional<std::string>>;
  // What kReportTarget answers; empty when it can't be read.
  { T::ReadEngineReport(text) } -> std::same_as<std::optional<EngineReport>>;
  { T::ReadRequest(fields) } -> std::same_as<RequestFacts>;
  // Removes what only this system may say to a target, and the API key.
  { T::RemoveReserved(into) } -> std::same_as<void>;
  { T::WriteSend(send, into) } -> std::same_as<void>;
  { T::ReadAnswer(status, fields) } -> std::same_as<AnswerFacts>;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_DIALECT_H_

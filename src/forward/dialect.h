#ifndef DAISYPOND_FORWARD_DIALECT_H_
#define DAISYPOND_FORWARD_DIALECT_H_

#include <concepts>
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
                           unsigned status) {
  // Where a target answers at once, without a place, while it lives.
  { T::kReportTarget } -> std::convertible_to<const char*>;
  { T::ReadRequest(fields) } -> std::same_as<RequestFacts>;
  // Removes what only this system may say to a target, and the API key.
  { T::RemoveReserved(into) } -> std::same_as<void>;
  { T::WriteSend(send, into) } -> std::same_as<void>;
  { T::ReadAnswer(status, fields) } -> std::same_as<AnswerFacts>;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_DIALECT_H_

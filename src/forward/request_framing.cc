#include "forward/request_framing.h"

#include <algorithm>
#include <string_view>

#include <boost/beast/core/string.hpp>

namespace daisypond::forward {

namespace {

namespace bhttp = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr std::string_view kChunked = "chunked";

std::string_view ValueOf(const bhttp::fields& fields, bhttp::field field) {
  const boost::beast::string_view value = fields[field];
  return {value.data(), value.size()};
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

/// True for a list of codings that ends with `chunked`.
bool EndsWithChunked(std::string_view codings) {
  const size_t comma = codings.rfind(',');
  if (comma == std::string_view::npos || comma == 0) {
    return false;
  }
  std::string_view last = codings.substr(comma + 1);
  last.remove_prefix(std::min(last.find_first_not_of(" \t"), last.size()));
  return boost::beast::iequals({last.data(), last.size()}, kChunked.data());
}

}  // namespace

RequestFraming FramingOf(const bhttp::fields& fields, unsigned version) {
  const size_t n_lengths = fields.count(bhttp::field::content_length);
  const size_t n_codings = fields.count(bhttp::field::transfer_encoding);
  if (n_lengths + n_codings > 1) {
    return RequestFraming::kAmbiguous;
  }
  if (n_lengths == 1) {
    return IsNumber(ValueOf(fields, bhttp::field::content_length))
               ? RequestFraming::kLength
               : RequestFraming::kAmbiguous;
  }
  if (n_codings == 0) {
    return RequestFraming::kNoBody;
  }
  const std::string_view codings =
      ValueOf(fields, bhttp::field::transfer_encoding);
  if (version < kHttp11) {
    return RequestFraming::kAmbiguous;
  }
  if (boost::beast::iequals({codings.data(), codings.size()},
                            kChunked.data())) {
    return RequestFraming::kChunked;
  }
  const bool is_chunked_twice =
      codings.find(kChunked) != codings.rfind(kChunked);
  return EndsWithChunked(codings) && !is_chunked_twice
             ? RequestFraming::kUnknownCoding
             : RequestFraming::kAmbiguous;
}

}  // namespace daisypond::forward

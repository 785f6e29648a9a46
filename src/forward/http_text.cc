#include "forward/http_text.h"

#include <algorithm>
#include <cctype>
#include <vector>

#include <fmt/format.h>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include "forward/send_tracker.h"

namespace daisypond::forward {

namespace {

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

void AppendFields(const bhttp::fields& fields, std::string* into) {
  for (const auto& it : fields) {
    *into += ToStringView(it.name_string());
    *into += ": ";
    *into += ToStringView(it.value());
    *into += "\r\n";
  }
}

}  // namespace

void RemoveConnectionFields(bhttp::fields* fields) {
  std::vector<std::string> named;
  for (const auto& it :
       bhttp::token_list((*fields)[bhttp::field::connection])) {
    named.emplace_back(ToStringView(it));
  }
  for (const std::string& it : named) {
    if (!boost::beast::iequals(it, "host")) {
      fields->erase(it);
    }
  }
  for (const char* it :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Content-Length", "Expect"}) {
    fields->erase(it);
  }
}

std::string FormatRequestHeader(const CallerRequest& request,
                                const bhttp::fields& fields) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  AppendFields(fields, &text);
  if (request.has_length || request.is_chunked) {
    text += fmt::format("Content-Length: {}\r\n", request.Body().size());
  }
  text += "\r\n";
  return text;
}

std::string FormatResponseHeader(unsigned status,
                                 std::string_view reason_phrase,
                                 const bhttp::fields& fields,
                                 BodyFraming framing,
                                 size_t length,
                                 ConnectionReuse reuse) {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reason_phrase);
  AppendFields(fields, &text);
  if (framing == BodyFraming::kLength) {
    text += fmt::format("Content-Length: {}\r\n", length);
  } else if (framing == BodyFraming::kChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  if (reuse == ConnectionReuse::kClose) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

std::string FormatChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string FormatVerdictResponse(const base::Verdict& verdict,
                                  ConnectionReuse reuse) {
  const auto status = static_cast<unsigned>(HttpStatusForVerdict(verdict));
  bhttp::fields fields;
  fields.set(bhttp::field::content_type, "application/json");
  if (verdict.retry_after.count > 0) {
    constexpr double kMillisPerSecond = 1000;
    fields.set(
        bhttp::field::retry_after,
        fmt::format("{:.3f}", static_cast<double>(verdict.retry_after.count) /
                                  kMillisPerSecond));
  }
  const std::string body = base::ToJson(verdict);
  return FormatResponseHeader(
             status,
             ToStringView(
                 bhttp::obsolete_reason(static_cast<bhttp::status>(status))),
             fields, BodyFraming::kLength, body.size(), reuse) +
         body;
}

std::string HostWithoutPort(std::string_view field) {
  std::string host(field.substr(0, std::min(field.find(':'), field.size())));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return host;
}

bool HasFoldedLine(std::string_view lines) {
  return lines.find("\n ") != std::string_view::npos ||
         lines.find("\n\t") != std::string_view::npos;
}

std::string_view PathWithoutQuery(std::string_view target) {
  return target.substr(0, std::min(target.find('?'), target.size()));
}

}  // namespace daisypond::forward

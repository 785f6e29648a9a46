#ifndef DAISYPOND_TESTS_PLAIN_DIALECT_H_
#define DAISYPOND_TESTS_PLAIN_DIALECT_H_

#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <string>

#include "base/hash.h"
#include "forward/dialect.h"

namespace daisypond::tests {

/// Simple HTTP headers and engine messages for tests of the forwarding path.
struct PlainDialect {
  using Fields = boost::beast::http::fields;

  static constexpr const char* kEngineReportPath = "/alive";
  static constexpr const char* kKvCopyPath = "/copy";

  static std::string KvCopyRequestBody(const std::string& run_id,
                                       const std::string& to_address) {
    return run_id + " " + to_address;
  }
  static std::string KvCopyDeletePath(const std::string& copy_id) {
    return "/drop/" + copy_id;
  }
  static std::optional<std::string> ParseKvCopyId(const std::string& body) {
    return body.empty() ? std::nullopt : std::optional(body);
  }

  /// Parses the number of running requests and the number of those that are
  /// still in prefill, separated by a space, such as "3 1".
  static std::optional<forward::EngineReport> ParseEngineReport(
      const std::string& body) {
    forward::EngineReport report;
    char* end = nullptr;
    report.running = std::strtol(body.c_str(), &end, 10);
    if (end == body.c_str()) {
      return std::nullopt;
    }
    report.prefilling = std::strtol(end, nullptr, 10);
    return report;
  }

  static forward::RequestMetadata ParseRequestHeader(const Fields& from) {
    forward::RequestMetadata metadata;
    metadata.id = Text(from, "Request-Id");
    if (const auto timeout_ms = Number(from, "Patience-Ms")) {
      metadata.caller_timeout = base::Millis{*timeout_ms};
    }
    metadata.api_key = Text(from, "Key");
    metadata.last_event_id = Number(from, "After-Event");
    metadata.resumed_id = Text(from, "Resumed-Id");
    metadata.prompt = Text(from, "Prompt");
    for (size_t n = metadata.prompt.find(','), at = 0; n != std::string::npos;
         at = n + 1, n = metadata.prompt.find(',', at)) {
      metadata.shared_prompt_parts.push_back(
          base::Hash(metadata.prompt.substr(at, n - at)));
    }
    return metadata;
  }

  static void RemoveReservedFields(Fields& into) {
    for (const char* it : {"Key", "Target-Id", "Workspace", "Goes-On-From"}) {
      into.erase(it);
    }
  }

  static void WriteSendFields(const forward::SendMetadata& send, Fields& into) {
    into.set("Patience-Ms", std::to_string(send.time_left.count));
    into.set("Target-Id", send.target_id);
    if (!send.workspace.empty()) {
      into.set("Workspace", send.workspace);
    }
    if (send.last_event_id) {
      into.set("After-Event", std::to_string(*send.last_event_id));
    }
    if (!send.kv_backup_address.empty()) {
      into.set("Copy-To", send.kv_backup_address);
    }
    if (send.kv_source) {
      into.set("Goes-On-From",
               send.kv_source->address + "/" + send.kv_source->id);
    }
  }

  static forward::ResponseMetadata ParseResponseHeader(unsigned status,
                                                       const Fields& from) {
    constexpr unsigned kMisdirected = 421;
    forward::ResponseMetadata metadata;
    if (from.find("Throw") != from.end()) {
      throw std::runtime_error("an answer that the dialect can't read");
    }
    metadata.id = Text(from, "Request-Id");
    metadata.is_sealed = from.find("Seal") != from.end();
    metadata.is_wrong_target = status == kMisdirected;
    metadata.is_not_run =
        from.find("Not-Run") != from.end() || metadata.is_wrong_target;
    metadata.is_event_stream =
        Text(from, "Content-Type") == "text/event-stream";
    metadata.is_leaving = Text(from, "Leaving") == "1";
    const std::string limit = Text(from, "Limit");
    if (!limit.empty()) {
      metadata.request_limit = std::atof(limit.c_str());
    }
    const std::string rejection_limit = Text(from, "Brittle");
    if (!rejection_limit.empty()) {
      metadata.rejection_limit = std::atof(rejection_limit.c_str());
    }
    return metadata;
  }

 private:
  static std::string Text(const Fields& from, const char* name) {
    const auto text = from[name];
    return {text.data(), text.size()};
  }

  static std::optional<int64_t> Number(const Fields& from, const char* name) {
    const std::string text = Text(from, name);
    return text.empty() ? std::nullopt
                        : std::optional<int64_t>(std::atoll(text.c_str()));
  }
};

static_assert(forward::Dialect<PlainDialect>);

}  // namespace daisypond::tests

#endif  // DAISYPOND_TESTS_PLAIN_DIALECT_H_

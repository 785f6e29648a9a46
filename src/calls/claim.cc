#include "calls/claim.h"

#include "base/hash.h"
#include "base/json.h"

namespace daisypond::calls {

std::string ToJson(const ClaimRow& row) {
  base::Json value = {{"state", kClaimStateNames.NameOf(row.state)},
                      {"body", base::ToHex(row.body_digest)},
                      {"nonce", row.nonce},
                      {"claimer", row.claimer},
                      {"attempt", row.attempt.value}};
  if (row.state == ClaimState::kDone) {
    value["status"] = row.answer.status;
    value["answer"] = row.answer.body;
  }
  return base::WriteJson(value);
}

std::optional<ClaimRow> ClaimRowFromJson(const std::string& text) {
  const base::Json value = base::ParseJson(text);
  const auto state =
      kClaimStateNames.ValueOf(base::StringField(value, "state"));
  ClaimRow row;
  if (!state ||
      !base::FromHex(base::StringField(value, "body"), &row.body_digest)) {
    return std::nullopt;
  }
  row.state = *state;
  row.nonce = base::StringField(value, "nonce");
  row.claimer = base::StringField(value, "claimer");
  row.attempt = {base::IntegerField(value, "attempt")};
  row.answer.status = static_cast<int>(base::IntegerField(value, "status"));
  row.answer.body = base::StringField(value, "answer");
  return row;
}

std::string ClaimKey(const std::string& workspace,
                     const std::string& idempotency_key) {
  // The length prefix keeps the keys of ("a", "b/c") and ("a/b", "c") distinct.
  return "call/" + std::to_string(workspace.size()) + "/" + workspace + "/" +
         idempotency_key;
}

}  // namespace daisypond::calls

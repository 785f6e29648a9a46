#include "orders/lease.h"

#include "base/json.h"

namespace daisypond::orders {

std::string ToJson(const LeaseRow& row) {
  return base::WriteJson({{"holder", row.holder},
                          {"fencing_number", row.fencing_number},
                          {"duration_ms", row.duration.count},
                          {"nonce", row.nonce},
                          {"wanted_state", row.wanted_state}});
}

std::optional<LeaseRow> LeaseRowFromJson(const std::string& text) {
  const base::Json value = base::ParseJson(text);
  if (!value.is_object()) {
    return std::nullopt;
  }
  LeaseRow row;
  row.holder = base::StringField(value, "holder");
  row.fencing_number =
      static_cast<uint64_t>(base::IntegerField(value, "fencing_number"));
  row.duration = {base::IntegerField(value, "duration_ms")};
  row.nonce = base::StringField(value, "nonce");
  row.wanted_state = base::StringField(value, "wanted_state");
  return row;
}

std::string LeaseKey(const std::string& target) {
  return "lease/" + target;
}

}  // namespace daisypond::orders

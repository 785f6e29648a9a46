#include "intents/configuration.h"

#include <algorithm>

namespace daisypond::intents {

std::string ModelVersion::ToString() const {
  std::string buf = model + ":" + version;
  return adapter.empty() ? buf : buf + "+" + adapter;
}

bool ModelVersion::FromString(const std::string& text, ModelVersion* out) {
  const size_t colon = text.find(':');
  if (colon == 0 || colon == std::string::npos) {
    return false;
  }
  const size_t plus = text.find('+', colon);
  out->model = text.substr(0, colon);
  out->version =
      text.substr(colon + 1, plus == std::string::npos ? std::string::npos
                                                       : plus - colon - 1);
  out->adapter = plus == std::string::npos ? "" : text.substr(plus + 1);
  return !out->version.empty();
}

bool Target::Serves(const ModelVersion& wanted) const {
  return std::find(models.begin(), models.end(), wanted) != models.end();
}

}  // namespace daisypond::intents

#ifndef DAISYPOND_GATEWAY_SERVE_H_
#define DAISYPOND_GATEWAY_SERVE_H_

#include <string>

#include "gateway/settings.h"

namespace daisypond::gateway {

/// Runs an instance that forwards requests until SIGTERM or SIGINT. Reads
/// `file` again on SIGHUP. Returns the exit code of the process. The signals
/// must be blocked in all threads; see base::BlockHandledSignals().
int Serve(const std::string& file, const Settings& settings);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SERVE_H_

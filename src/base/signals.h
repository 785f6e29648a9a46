#ifndef DAISYPOND_BASE_SIGNALS_H_
#define DAISYPOND_BASE_SIGNALS_H_

#include <csignal>

namespace daisypond::base {

/// The signals that a serving process waits for: SIGTERM, SIGINT and SIGHUP.
sigset_t HandledSignals();

/// Blocks HandledSignals(), so that only sigwait() receives them, also those
/// that arrive earlier. To be called before the first thread starts.
void BlockHandledSignals();

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_SIGNALS_H_

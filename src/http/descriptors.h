#ifndef DAISYPOND_HTTP_DESCRIPTORS_H_
#define DAISYPOND_HTTP_DESCRIPTORS_H_

#include <cstddef>

namespace daisypond::http {

/// The number of descriptors that this process may have open.
size_t DescriptorLimit();

/// The number of accepted connections that may wait for one of `threads`
/// threads, if the process may have `descriptors` open: leaves one for the
/// caller and one for the target of each thread and a reserve for the store,
/// peers and the status pages.
size_t QueueLength(size_t threads, size_t descriptors);

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_DESCRIPTORS_H_

#ifndef DAISYPOND_ENTRY_TLS_H_
#define DAISYPOND_ENTRY_TLS_H_

#include <memory>

#include <grpcpp/grpcpp.h>

#include "entry/settings.h"
#include "yaml/node.h"

namespace daisypond::entry {

/// Checks that every file named in the settings is readable and not empty.
yaml::ParseResult<void> CheckTlsFiles(const TlsSettings& settings);

/// Returns credentials for mutual TLS if the settings contain the paths of the
/// TLS files, and credentials for plain TCP otherwise.
std::shared_ptr<grpc::ChannelCredentials> PeerChannelCredentials(
    const TlsSettings& settings);
std::shared_ptr<grpc::ServerCredentials> PeerServerCredentials(
    const TlsSettings& settings);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TLS_H_

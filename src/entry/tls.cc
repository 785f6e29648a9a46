#include "entry/tls.h"

#include <fstream>
#include <sstream>

namespace daisypond::entry {

namespace {

std::string ReadFile(const std::string& path) {
  const std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

yaml::ParseResult<void> CheckTlsFiles(const TlsSettings& settings) {
  for (const std::string& it : {settings.peer_certificate, settings.peer_key,
                                settings.peer_authority}) {
    if (!it.empty() && ReadFile(it).empty()) {
      return tl::unexpected(
          yaml::Error{it, 0, "tls", "cannot be read or is empty"});
    }
  }
  return {};
}

std::shared_ptr<grpc::ChannelCredentials> PeerChannelCredentials(
    const TlsSettings& settings) {
  if (settings.peer_certificate.empty()) {
    return grpc::InsecureChannelCredentials();
  }
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = ReadFile(settings.peer_authority);
  options.pem_private_key = ReadFile(settings.peer_key);
  options.pem_cert_chain = ReadFile(settings.peer_certificate);
  return grpc::SslCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials> PeerServerCredentials(
    const TlsSettings& settings) {
  if (settings.peer_certificate.empty()) {
    return grpc::InsecureServerCredentials();
  }
  grpc::SslServerCredentialsOptions options(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = ReadFile(settings.peer_authority);
  options.pem_key_cert_pairs.push_back(
      {ReadFile(settings.peer_key), ReadFile(settings.peer_certificate)});
  return grpc::SslServerCredentials(options);
}

}  // namespace daisypond::entry

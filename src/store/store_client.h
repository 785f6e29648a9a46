#ifndef DAISYPOND_STORE_STORE_CLIENT_H_
#define DAISYPOND_STORE_STORE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/client.h"
#include "store/table_message.h"

namespace daisypond::store {

/// An entry of the platform's list of instances, which may be out of date.
struct ListedInstance {
  std::string name;
  std::string peer_address;
  std::string failure_domain;
  bool is_leaving = false;
};

/// Client of the platform's table service, object store and instance list.
/// Satisfies the TableService concept. Thread-safe.
class StoreClient {
 public:
  StoreClient(http::Client* client, std::string address, base::Millis timeout);

  TransactionResult Transact(const std::vector<ConditionalWrite>& writes);
  ReadResult Read(const std::vector<std::string>& keys);

  /// Reads rows without blocking. `done` is called on the HTTP client's thread.
  void ReadAsync(const std::vector<std::string>& keys,
                 std::function<void(ReadResult)> done);

  /// Stores an object under a name. It is safe to repeat the call with the same
  /// content.
  StoreOutcome PutObject(const std::string& name, const std::string& content);

  /// Reads an object. Returns nothing when the object does not exist or the
  /// request failed.
  std::optional<std::string> GetObject(const std::string& name);

  /// Reads an object without blocking. `done` is called on the HTTP client's
  /// thread.
  void GetObjectAsync(const std::string& name,
                      std::function<void(std::optional<std::string>)> done);

  /// Reads the list of instances without blocking. `done` is called on the HTTP
  /// client's thread, with nothing when the request failed.
  void ListInstancesAsync(
      std::function<void(std::optional<std::vector<ListedInstance>>)> done);

 private:
  http::ClientRequest MakeRequest(std::string method,
                                  std::string path,
                                  std::string body) const;

  http::Client* client_;
  std::string address_;
  base::Millis timeout_;
};

}  // namespace daisypond::store

#endif  // DAISYPOND_STORE_STORE_CLIENT_H_

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

/// An entry of the platform's lagging list of instances.
struct ListedInstance {
  std::string name;
  std::string peer_address;
  std::string failure_domain;
  bool is_leaving = false;
};

/// Client of the platform's table service, object store and instance list.
/// Thread-safe. Models the TableService concept.
class StoreClient {
 public:
  StoreClient(http::Client* client, std::string address, base::Millis timeout);

  TransactionResult Transact(const std::vector<ConditionalWrite>& writes);
  ReadResult Read(const std::vector<std::string>& keys);

  /// Reads without blocking; `done` runs on the HTTP client's thread.
  void ReadAsync(const std::vector<std::string>& keys,
                 std::function<void(ReadResult)> done);

  /// Stores an object under a name. Writing the same content again is safe.
  StoreOutcome PutObject(const std::string& name, const std::string& content);

  /// Empty when the object is absent or the store is not reached.
  std::optional<std::string> GetObject(const std::string& name);

  /// Reads an object without blocking; `done` runs on the client's thread.
  void GetObjectAsync(const std::string& name,
                      std::function<void(std::optional<std::string>)> done);

  /// Reads the list of instances without blocking; empty when it is not
  /// reached. `done` runs on the client's thread.
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

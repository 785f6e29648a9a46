#ifndef DAISYPOND_GATEWAY_SHARED_RETRY_BUDGET_H_
#define DAISYPOND_GATEWAY_SHARED_RETRY_BUDGET_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "forward/retry_pool.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"

namespace daisypond::gateway {

/// Returns the addresses of the members that hold the pools of shared retries:
/// the first kPoolHolderCount live members in an order that is the same on all
/// members. Members that temporarily disagree on who is live use different
/// holders; the pools then grant fewer retries, never more.
std::vector<std::string> SelectPoolHolders(
    const membership::PeerState& self,
    const std::vector<membership::PeerState>& peers);

/// Shares the limit on retries between instances. Reports the number of this
/// instance's requests to the pool holders in turn, borrows retries from them,
/// and holds a pool for the other instances. Runs on the control thread.
class SharedRetryBudget {
 public:
  /// Time between two reports of request counts. It is much shorter than the
  /// window within which the pool counts the reported requests.
  static constexpr base::Millis kReportPeriod{500};

  SharedRetryBudget(const peer::MembershipProtocol* membership_protocol,
                    peer::PeerClient* client,
                    std::function<void(std::function<void()>)> post,
                    forward::RetryPool pool)
      : membership_(membership_protocol),
        client_(client),
        post_(std::move(post)),
        pool_(std::move(pool)) {}

  /// Tells the next pool holder how many requests this instance has received
  /// for each service.
  void ReportRequestCounts(const std::map<std::string, int>& requests);

  /// Requests `wanted` retries from the next pool holder. `done` is called once
  /// with the number granted, on the control thread or on the peer client's.
  void BorrowRetries(const std::string& service,
                     int wanted,
                     std::function<void(int)> done);

  /// Adds the request counts that another instance reported to the pool that
  /// this instance holds.
  void AddReportedRequests(const peer::ReportRequestsRequest& request);
  /// Grants retries from this instance's pool to another instance. Returns the
  /// number granted.
  int GrantRetries(const peer::LendRetriesRequest& request);

 private:
  /// Returns the next pool holder that has not failed recently, or an empty
  /// string if there is none.
  std::string NextPoolHolder();
  /// Skips the holder at `address` for some time because it did not answer.
  void ExcludeHolder(const std::string& address);
  static void LogLostReport(const std::string& holder);

  const peer::MembershipProtocol* membership_;
  peer::PeerClient* client_;
  std::function<void(std::function<void()>)> post_;
  forward::RetryPool pool_;
  size_t round_robin_index_ = 0;
  /// For each holder that did not answer, the time until which it is skipped.
  std::map<std::string, base::Millis> failed_until_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SHARED_RETRY_BUDGET_H_

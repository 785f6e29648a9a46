#ifndef DAISYPOND_GATEWAY_SHARED_RETRY_BUDGET_H_
#define DAISYPOND_GATEWAY_SHARED_RETRY_BUDGET_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "forward/retry_pool.h"
#include "gateway/forwarder_options.h"
#include "gateway/settings.h"
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

/// Returns the part of a pool's allowance that it may grant while `n_reachable`
/// of at most `n_known` members are in reach. The holders on the two sides of a
/// partition together grant no more than the holders of the whole group.
double PoolAllowance(double allowance, size_t n_reachable, size_t n_known);

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
                    const Settings& settings)
      : membership_(membership_protocol),
        client_(client),
        post_(std::move(post)),
        window_(settings.retries.window),
        allowance_(RetryAllowancePerPool(settings)),
        pool_(MakeRetryPool(settings)) {}

  /// Sets what the pool of this instance may grant without requests. To be
  /// called when the peer table may have changed.
  void OnMembersChanged();

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
  base::Millis window_;
  /// Allowance of a pool while all members are in reach.
  double allowance_;
  forward::RetryPool pool_;
  /// Largest number of members seen, including this instance.
  size_t n_known_members_ = 1;
  /// Since when this instance has held a pool without a break; empty while it
  /// holds none.
  std::optional<base::Millis> holder_since_;
  size_t round_robin_index_ = 0;
  /// For each holder that did not answer, the time until which it is skipped.
  std::map<std::string, base::Millis> failed_until_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SHARED_RETRY_BUDGET_H_

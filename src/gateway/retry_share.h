#ifndef DAISYPOND_GATEWAY_RETRY_SHARE_H_
#define DAISYPOND_GATEWAY_RETRY_SHARE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "forward/retry_pool.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"

namespace daisypond::gateway {

/// The members that keep a pool of repeated sends, by address: a few of the
/// live ones in an order that all members see alike. Members that disagree for
/// a while report to and ask different holders, which grants less, not more.
std::vector<std::string> PoolHoldersOf(
    const membership::PeerState& self,
    const std::vector<membership::PeerState>& peers);

/// Shares the bound on repeated sends between instances: reports this
/// instance's requests to the holders of pools in turn, asks them for repeated
/// sends, and keeps a pool of its own for others. On the control thread.
class RetryShare {
 public:
  /// How often requests are reported: much shorter than the window in which
  /// they count.
  static constexpr base::Millis kReportPeriod{500};

  RetryShare(const peer::MembershipProtocol* group,
             peer::PeerClient* client,
             std::function<void(std::function<void()>)> post,
             forward::RetryPool pool)
      : group_(group),
        client_(client),
        post_(std::move(post)),
        pool_(std::move(pool)) {}

  /// Passes on how many requests for each service this instance has taken.
  void Report(const std::map<std::string, int>& requests);

  /// Asks the next holder; `done` runs once, on the control thread or on the
  /// peer client's.
  void Borrow(const std::string& service,
              int wanted,
              std::function<void(int)> done);

  /// A member's report and question to the pool that is kept here.
  void OnReport(const peer::ReportRequestsRequest& request);
  int OnBorrow(const peer::LendRetriesRequest& request);

 private:
  /// The next holder that has not failed lately; empty: none is known.
  std::string NextHolder();
  void OnFailed(const std::string& address);
  static void LogLostReport(const std::string& holder);

  const peer::MembershipProtocol* group_;
  peer::PeerClient* client_;
  std::function<void(std::function<void()>)> post_;
  forward::RetryPool pool_;
  size_t turn_ = 0;
  /// Holders that did not answer are left out until then.
  std::map<std::string, base::Millis> failed_until_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_RETRY_SHARE_H_

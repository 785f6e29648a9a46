#include "gateway/shared_retry_budget.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/forwarder_options.h"

namespace daisypond::gateway {

namespace {

// Seeds the hash by which pool holders are ranked, so that this ranking is
// independent of other rankings of the same instances by hash.
constexpr uint64_t kPoolHolderHashSeed = 0x7265747279;
// Timeout of a call to a pool holder, which allows several network round trips.
// It may be this long because a stream can wait several hundred milliseconds
// for a borrowed retry.
constexpr base::Millis kCallTimeout{100};
// How long a pool holder that did not answer is skipped. If the holder died,
// the membership protocol has detected this by then.
constexpr base::Millis kFailedHolderExclusion{3000};

}  // namespace

std::vector<std::string> SelectPoolHolders(
    const membership::PeerState& self,
    const std::vector<membership::PeerState>& peers) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  const auto add = [&](const membership::PeerState& it) {
    if (it.status == membership::PeerStatus::kAlive) {
      ranked.emplace_back(base::Hash(it.instance, kPoolHolderHashSeed),
                          it.address);
    }
  };
  add(self);
  std::for_each(peers.begin(), peers.end(), add);
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kPoolHolderCount));
  std::vector<std::string> holders;
  holders.reserve(ranked.size());
  for (auto& it : ranked) {
    holders.push_back(std::move(it.second));
  }
  return holders;
}

double PoolAllowance(double allowance, size_t n_reachable, size_t n_known) {
  return allowance * static_cast<double>(n_reachable) /
         static_cast<double>(std::max<size_t>(n_known, 1));
}

void SharedRetryBudget::OnMembersChanged() {
  const auto& table = membership_->Table();
  const std::vector<std::string> holders =
      SelectPoolHolders(table.Self(), table.Reachable());
  const size_t n_members = table.Reachable().size() + 1;
  n_known_members_ = std::max(n_known_members_, n_members);
  const bool is_holder = std::find(holders.begin(), holders.end(),
                                   table.Self().address) != holders.end();
  if (!is_holder) {
    holder_since_.reset();
    pool_.SetAllowance(0, {});
    return;
  }
  holder_since_ = holder_since_.value_or(base::Clock::Now());
  pool_.SetAllowance(PoolAllowance(allowance_, n_members, n_known_members_),
                     *holder_since_ + window_);
}

void SharedRetryBudget::LogLostReport(const std::string& holder) {
  base::Log(base::LogLevel::kWarning, "retry_report_lost",
            {{"holder", holder}});
}

std::string SharedRetryBudget::NextPoolHolder() {
  const auto& table = membership_->Table();
  std::vector<std::string> holders =
      SelectPoolHolders(table.Self(), table.Reachable());
  const base::Millis now = base::Clock::Now();
  std::erase_if(failed_until_,
                [&](const auto& it) { return it.second <= now; });
  std::erase_if(holders, [&](const std::string& it) {
    return failed_until_.contains(it);
  });
  return holders.empty() ? "" : holders[++round_robin_index_ % holders.size()];
}

void SharedRetryBudget::ExcludeHolder(const std::string& address) {
  failed_until_[address] = base::Clock::Now() + kFailedHolderExclusion;
}

void SharedRetryBudget::ReportRequestCounts(
    const std::map<std::string, int>& requests) {
  const std::string holder = NextPoolHolder();
  if (requests.empty() || holder.empty()) {
    return;
  }
  peer::ReportRequestsRequest report;
  for (const auto& it : requests) {
    peer::ServiceRequests* service = report.add_services();
    service->set_service(it.first);
    service->set_requests(it.second);
  }
  if (holder == membership_->Table().Self().address) {
    AddReportedRequests(report);
    return;
  }
  // A failed report is not sent again, because the holder may have counted it.
  client_->ReportRequests(holder, report, kCallTimeout,
                          [this, holder](bool is_acknowledged) {
                            if (!is_acknowledged) {
                              LogLostReport(holder);
                              post_([this, holder] { ExcludeHolder(holder); });
                            }
                          });
}

void SharedRetryBudget::BorrowRetries(const std::string& service,
                                      int wanted,
                                      std::function<void(int)> done) {
  const std::string holder = NextPoolHolder();
  peer::LendRetriesRequest request;
  request.set_service(service);
  request.set_wanted(wanted);
  if (holder.empty() || holder == membership_->Table().Self().address) {
    done(GrantRetries(request));
    return;
  }
  const base::Millis sent_at = base::Clock::Now();
  client_->LendRetries(
      holder, request, kCallTimeout,
      [this, service, wanted, holder, sent_at,
       done = std::move(done)](std::optional<int> granted) {
        base::Log(base::LogLevel::kInfo, "retries_borrowed",
                  {{"service", service},
                   {"holder", holder},
                   {"answered", granted.has_value()},
                   {"wanted", wanted},
                   {"granted", granted.value_or(0)},
                   {"took_ms", (base::Clock::Now() - sent_at).count}});
        if (!granted) {
          post_([this, holder] { ExcludeHolder(holder); });
        }
        done(granted.value_or(0));
      });
}

void SharedRetryBudget::AddReportedRequests(
    const peer::ReportRequestsRequest& request) {
  const base::Millis now = base::Clock::Now();
  for (const peer::ServiceRequests& it : request.services()) {
    pool_.OnRequests(it.service(), it.requests(), now);
  }
}

int SharedRetryBudget::GrantRetries(const peer::LendRetriesRequest& request) {
  return pool_.GrantRetries(request.service(), request.wanted(),
                            base::Clock::Now());
}

}  // namespace daisypond::gateway

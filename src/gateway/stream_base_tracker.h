#ifndef DAISYPOND_GATEWAY_STREAM_BASE_TRACKER_H_
#define DAISYPOND_GATEWAY_STREAM_BASE_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "catalog/target.h"
#include "forward/stream_base.h"
#include "forward/version_history.h"
#include "gateway/release_record.h"

namespace daisypond::gateway {

/// Decides which streams of a service may begin without a record in the table
/// service, and which base version the table service is to state. A stream may
/// only if the table service states its version as the base, or has a record of
/// the service without a base and no other version is listed; what this
/// instance has read of that holds as long as its own list of targets shows no
/// reason for a change. Reads no clock; all methods get the time as an
/// argument.
class StreamBaseTracker {
 public:
  /// An instance whose list of targets is older does not know what the others
  /// have made of the record in the meantime. Well below
  /// StreamLifetimes::kMinimum, after which they may state another base.
  static constexpr base::Millis kMaximumListAge{10'000};
  /// A list that was ever older may lack a version that has come and gone, and
  /// proves no single version for as long as a stream lasts.
  static constexpr base::Millis kMaximumClaimAge{3000};
  /// A version becomes the base when it has been the only recent one for so
  /// long. By then all others know that it is, whose lists are not too old.
  static constexpr base::Millis kClaimDelay{12'000};
  /// A base that few targets have is withdrawn after this time. Targets that
  /// are missing after an outage of the table service are back within it.
  static constexpr base::Millis kWithdrawalDelay{5000};
  /// From a change to the next reading of the records, in addition to a random
  /// time. Covers the time that the holder of the record needs.
  static constexpr base::Millis kReadDelay{2000};
  /// Added while the table service has no record of the service, and when the
  /// base has few targets. Covers kWithdrawalDelay and the time that instances
  /// that start together need to find the holder.
  static constexpr base::Millis kFirstRecordDelay{5000};

  void OnTargets(const catalog::Targets& targets, base::Millis now);

  /// To be called with all records that the table service has, and the era in
  /// which they were read.
  void OnRecordsRead(const ReleaseRecordMap& records,
                     uint64_t era,
                     base::Millis now);

  /// To be called with a record that this instance has read or written.
  void OnRecordKnown(const std::string& service,
                     const ReleaseRecord& record,
                     uint64_t era,
                     base::Millis now);

  /// To be called regularly. `list_age` is the age of the list of targets, if
  /// there is one; `era` that of the table service, or 0 if it is not known;
  /// `read_spread` a random time by which the next reading of the records is
  /// put off.
  void Update(std::optional<base::Millis> list_age,
              uint64_t era,
              bool has_older_members,
              base::Millis read_spread,
              base::Millis now);

  /// True when the records are to be read again.
  bool IsReadDue(base::Millis now) const {
    return read_at_ && now >= *read_at_;
  }

  /// Which streams may begin without a record, for all services.
  forward::StreamBases Bases(base::Millis now) const;
  forward::StreamBase BaseOf(const std::string& service,
                             base::Millis now) const;

  /// Returns what the table service is to keep of a service of which it has
  /// `stored`. To be written by one instance, the holder of the record.
  ReleaseRecord RecordToKeep(const std::string& service,
                             const std::optional<ReleaseRecord>& stored,
                             base::Millis now) const;

  /// The versions that could have begun a stream of each service.
  forward::ServiceVersions RecentVersions(base::Millis now) const {
    return history_.RecentVersions(now);
  }
  const forward::VersionHistory& History() const { return history_; }
  forward::StreamLifetimes& Lifetimes() { return history_.Lifetimes(); }
  bool HasOlderMembers() const { return has_older_members_; }

 private:
  struct Service {
    /// Number of listed targets by version.
    std::map<std::string, size_t> n_listed;
    /// Since when too few targets have the base that was read.
    std::optional<base::Millis> scarce_since;
    /// What was read, and whether it still holds.
    bool is_read = false;
    bool is_current = false;
    /// False if the table service had no record at all.
    bool has_record = false;
    std::optional<std::string> base;
    /// True once a member of an older build was known, until the table service
    /// has had no base: that member may have begun streams without a record.
    bool is_base_doubtful = false;
    std::set<std::string> versions_at_read;
    /// The version that was last seen as the only one since the reading. Only
    /// this one can have become the base since.
    std::optional<std::string> last_single;
    /// Since when a single version has been recent.
    std::optional<base::Millis> single_since;
    /// The versions for which the records were last read or are to be read.
    std::set<std::string> asked_for;
    /// True if the last reading came after a version was the only one for long
    /// enough to become the base.
    bool has_read_observed = false;
  };

  /// True if enough targets have a version for it to be the base.
  static bool IsCommon(const Service& service, const std::string& version);
  /// The version that more than half of the targets have.
  static std::optional<std::string> MajorityVersion(const Service& service);
  std::set<std::string> RecentOf(const std::string& service,
                                 base::Millis now) const;
  void OnEra(uint64_t era, base::Millis now);
  void SetKnown(const std::string& name,
                const std::optional<ReleaseRecord>& record,
                base::Millis now);
  void CheckKnowledge(base::Millis now);
  bool WantsRead(const std::string& name,
                 const Service& service,
                 base::Millis now) const;
  void ScheduleRead(base::Millis spread, base::Millis now);
  bool MayClaim(const std::string& service,
                bool is_first_record,
                base::Millis now) const;

  forward::VersionHistory history_;
  std::map<std::string, Service> services_;
  /// The latest era of the table service; the first one is 0.
  std::optional<uint64_t> era_;
  /// Since when a single version in the list is the only one for certain.
  base::Millis undisturbed_since_{INT64_MIN / 2};
  bool is_list_old_ = false;
  bool has_older_members_ = false;
  std::optional<base::Millis> read_at_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_STREAM_BASE_TRACKER_H_

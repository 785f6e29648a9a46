#ifndef DAISYPOND_INTAKE_ROOM_LEASE_H_
#define DAISYPOND_INTAKE_ROOM_LEASE_H_

#include <memory>
#include <string>
#include <utility>

#include "intake/room_ledger.h"

namespace daisypond::intake {

/// A holder in a RoomLedger that is removed at the end of this object. An empty
/// lease holds nothing and is granted everything.
class RoomLease {
 public:
  RoomLease() = default;
  RoomLease(std::shared_ptr<RoomLedger> ledger,
            RoomKind kind,
            std::string owner,
            base::Millis now)
      : ledger_(std::move(ledger)),
        id_(ledger_->Add(kind, std::move(owner), now)) {}
  ~RoomLease() { Release(); }
  RoomLease(RoomLease&& other) noexcept
      : ledger_(std::move(other.ledger_)), id_(other.id_) {}
  RoomLease& operator=(RoomLease&& other) noexcept {
    if (this != &other) {
      Release();
      ledger_ = std::move(other.ledger_);
      id_ = other.id_;
    }
    return *this;
  }
  RoomLease(const RoomLease&) = delete;
  RoomLease& operator=(const RoomLease&) = delete;

  HolderId Id() const { return id_; }

  RoomDecision Resize(size_t bytes, base::Millis now) {
    return ledger_ == nullptr ? RoomDecision::kGranted
                              : ledger_->Resize(id_, bytes, now);
  }
  void OnProgress(size_t n, base::Millis now) {
    if (ledger_ != nullptr) {
      ledger_->OnProgress(id_, n, now);
    }
  }
  void SetPace(RoomPace pace, base::Millis now) {
    if (ledger_ != nullptr) {
      ledger_->SetPace(id_, pace, now);
    }
  }
  void Release() {
    if (ledger_ != nullptr) {
      ledger_->Remove(id_);
      ledger_.reset();
    }
  }

 private:
  std::shared_ptr<RoomLedger> ledger_;
  HolderId id_ = 0;
};

}  // namespace daisypond::intake

#endif  // DAISYPOND_INTAKE_ROOM_LEASE_H_

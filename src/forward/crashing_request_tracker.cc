#include "forward/crashing_request_tracker.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace daisypond::forward {

namespace {

// A part that is often answered is often on targets that are lost for other
// reasons, and is in many losses soon if it crashes targets.
int AnswerWeight(const LossEvidence& evidence) {
  return std::bit_width(static_cast<unsigned>(evidence.answers) / 2);
}

}  // namespace

void CrashingRequestTracker::OnTargetLost(const RequestContent& content,
                                          const TargetLoss& target,
                                          base::Millis now) {
  RecordedLoss loss = FindOrAddLoss(target, now);
  loss.request = content.hash;
  RemoveExpired(now);
  const auto add = [&](SuspectId id) -> LossEvidence& {
    LossEvidence& evidence = suspects_[id];
    evidence.processes[target.process] = loss;
    evidence.last_lost_at = now;
    return evidence;
  };
  if (content.hash != 0) {
    add({SuspectKind::kRequest, content.hash});
  }
  for (size_t i = 0; i < content.prompt_parts.size(); ++i) {
    const uint64_t part = content.prompt_parts[i];
    LossEvidence& evidence = add({SuspectKind::kPromptPart, part});
    evidence.position = static_cast<int>(i);
    evidence.answers = std::max(evidence.answers, answers_.Count(part, now));
    if (evidence.answers == 0 ||
        evidence.Count().events >= kLossEventsUntilShared) {
      unshared_parts_.insert(part);
    }
  }
  UpdateBlockedParts(now);
}

const RecordedLoss& CrashingRequestTracker::FindOrAddLoss(
    const TargetLoss& target,
    base::Millis now) {
  const auto it =
      std::find_if(recent_losses_.rbegin(), recent_losses_.rend(),
                   [&](const RecordedLoss& loss) {
                     return loss.target.process == target.process &&
                            now - loss.last_found_at < kSameLossPeriod;
                   });
  if (it != recent_losses_.rend()) {
    it->last_found_at = now;
    return *it;
  }
  recent_losses_.push_back({target, now, now});
  FindSimultaneous(&recent_losses_.back());
  return recent_losses_.back();
}

void CrashingRequestTracker::FindSimultaneous(RecordedLoss* loss) {
  for (RecordedLoss& it : recent_losses_) {
    if (it.target.service != loss->target.service ||
        it.target.failure_domain != loss->target.failure_domain ||
        it.target.process == loss->target.process ||
        loss->lost_at - it.lost_at >= kCorrelatedLossWindow) {
      continue;
    }
    ++loss->simultaneous;
    ++it.simultaneous;
    CopySimultaneous(it);
  }
}

void CrashingRequestTracker::CopySimultaneous(const RecordedLoss& loss) {
  for (auto& it : suspects_) {
    const auto found = it.second.processes.find(loss.target.process);
    if (found != it.second.processes.end() &&
        found->second.lost_at == loss.lost_at) {
      found->second.simultaneous = loss.simultaneous;
    }
  }
}

void CrashingRequestTracker::OnRequestAnswered(const RequestContent& content,
                                               base::Millis began_at,
                                               base::Millis now) {
  if (content.hash != 0) {
    ClearRequest(content.hash, began_at);
  }
  for (const uint64_t it : content.prompt_parts) {
    answers_.Add(it, now);
    ClearPromptPart(it, began_at, now);
  }
  UpdateBlockedParts(now);
}

void CrashingRequestTracker::ClearRequest(uint64_t request, base::Millis at) {
  const auto it = suspects_.find({SuspectKind::kRequest, request});
  if (it == suspects_.end()) {
    return;
  }
  if (it->second.Count().events < kLossEventsUntilShared) {
    suspects_.erase(it);
    return;
  }
  // Kept, so that peers clear the losses as well.
  it->second.OnAnswered(at);
}

void CrashingRequestTracker::ClearPromptPart(uint64_t prompt_part,
                                             base::Millis at,
                                             base::Millis now) {
  const auto it = suspects_.find({SuspectKind::kPromptPart, prompt_part});
  if (it == suspects_.end()) {
    return;
  }
  it->second.answers =
      std::max(it->second.answers, answers_.Count(prompt_part, now));
  if (it->second.OnAnswered(at)) {
    unshared_parts_.insert(prompt_part);
  }
}

void CrashingRequestTracker::OnSuspectedByPeer(
    const std::vector<Suspect>& suspects,
    base::Millis now) {
  for (const Suspect& it : suspects) {
    MergeFromPeer(it, now);
  }
  RemoveExpired(now);
  UpdateBlockedParts(now);
}

void CrashingRequestTracker::MergeFromPeer(const Suspect& suspect,
                                           base::Millis now) {
  LossEvidence evidence;
  const auto known = suspects_.find(suspect.id);
  if (known != suspects_.end()) {
    evidence = known->second;
  }
  for (const Suspect::Loss& it : suspect.losses) {
    const base::Millis lost_at = now - it.age;
    RecordedLoss& loss = evidence.processes
                             .try_emplace(it.target.process,
                                          RecordedLoss{it.target, lost_at,
                                                       lost_at, 0, it.request})
                             .first->second;
    loss.simultaneous = std::max(loss.simultaneous, it.simultaneous);
    evidence.last_lost_at = std::max(evidence.last_lost_at, lost_at);
  }
  if (suspect.answer_age) {
    evidence.OnAnswered(now - *suspect.answer_age);
  } else if (evidence.answered_at) {
    evidence.OnAnswered(*evidence.answered_at);
  }
  evidence.position = std::max(evidence.position, suspect.position);
  evidence.answers = std::max(evidence.answers, suspect.answers);
  if (suspect.id.kind == SuspectKind::kPromptPart) {
    const int own_answers = answers_.Count(suspect.id.hash, now);
    evidence.answers = std::max(evidence.answers, own_answers);
    // Peers that have seen few answers might block the part.
    if (own_answers > suspect.answers * 2) {
      unshared_parts_.insert(suspect.id.hash);
    }
  }
  if (!HasExpired(suspect.id, evidence, now)) {
    suspects_[suspect.id] = std::move(evidence);
  }
}

Suspect CrashingRequestTracker::MakeSuspect(SuspectId id,
                                            const LossEvidence& evidence,
                                            base::Millis now) const {
  Suspect suspect;
  suspect.id = id;
  suspect.answers = evidence.answers;
  suspect.position = evidence.position;
  for (const auto& it : evidence.processes) {
    const RecordedLoss& loss = it.second;
    suspect.losses.push_back(
        {loss.target, now - loss.lost_at, loss.simultaneous, loss.request});
  }
  if (evidence.answered_at) {
    suspect.answer_age = now - *evidence.answered_at;
  }
  return suspect;
}

std::vector<Suspect> CrashingRequestTracker::SharedSuspects(
    base::Millis now) const {
  // Prompt parts first, because they concern more requests.
  std::vector<std::tuple<SuspectKind, size_t, base::Millis, SuspectId>> shared;
  for (const auto& it : suspects_) {
    const size_t n = it.second.Count().events;
    if (!HasExpired(it.first, it.second, now) &&
        (it.second.answered_at || n >= kLossEventsUntilShared)) {
      shared.emplace_back(it.first.kind, n, it.second.last_lost_at, it.first);
    }
  }
  std::sort(shared.rbegin(), shared.rend());
  shared.resize(std::min(shared.size(), kMaximumShared));
  std::vector<Suspect> suspects;
  suspects.reserve(shared.size());
  for (const auto& it : shared) {
    const SuspectId id = std::get<SuspectId>(it);
    suspects.push_back(MakeSuspect(id, suspects_.at(id), now));
  }
  return suspects;
}

std::vector<Suspect> CrashingRequestTracker::TakeUnsharedParts(
    base::Millis now) {
  std::vector<Suspect> suspects;
  while (!unshared_parts_.empty() && suspects.size() < kMaximumShared) {
    const SuspectId id{SuspectKind::kPromptPart, *unshared_parts_.begin()};
    unshared_parts_.erase(unshared_parts_.begin());
    const auto found = suspects_.find(id);
    if (found != suspects_.end()) {
      suspects.push_back(MakeSuspect(id, found->second, now));
    }
  }
  return suspects;
}

std::vector<PromptPartChange> CrashingRequestTracker::TakePartChanges() {
  return std::exchange(part_changes_, {});
}

LossCount CrashingRequestTracker::CountOf(SuspectId id,
                                          const LossEvidence& evidence) const {
  return evidence.Count(id.kind == SuspectKind::kRequest
                            ? explained_
                            : std::set<TargetProcess>());
}

LossCount CrashingRequestTracker::CountLosses(SuspectId id) const {
  const auto it = suspects_.find(id);
  return it == suspects_.end() ? LossCount() : CountOf(id, it->second);
}

bool CrashingRequestTracker::IsBlocked(SuspectId id,
                                       const LossEvidence& evidence) const {
  if (id.kind == SuspectKind::kPromptPart) {
    return blocked_parts_.contains(id.hash);
  }
  const LossCount count = CountOf(id, evidence);
  return count.isolated >= kTargetLossesUntilBlocked ||
         count.events >= kLossEventsUntilBlocked;
}

bool CrashingRequestTracker::HasExpired(SuspectId id,
                                        const LossEvidence& evidence,
                                        base::Millis now) const {
  const bool is_kept = id.kind == SuspectKind::kPromptPart
                           ? !evidence.processes.empty()
                           : IsBlocked(id, evidence);
  return now - evidence.last_lost_at >=
         (is_kept ? kBlockPeriod : kRetentionPeriod);
}

bool CrashingRequestTracker::IsHashBlocked(const RequestContent& content,
                                           base::Millis now) const {
  const SuspectId request{SuspectKind::kRequest, content.hash};
  const auto it = suspects_.find(request);
  if (it == suspects_.end()) {
    return false;
  }
  if (content.is_loss_weak) {
    return CountOf(request, it->second).events >= kWeakLossEventsUntilBlocked &&
           now - it->second.last_lost_at < kPartBlockPeriod;
  }
  return IsBlocked(request, it->second) &&
         !HasExpired(request, it->second, now);
}

bool CrashingRequestTracker::IsBlocked(const RequestContent& content,
                                       base::Millis now) const {
  if (IsHashBlocked(content, now)) {
    return true;
  }
  return std::any_of(
      content.prompt_parts.begin(), content.prompt_parts.end(),
      [&](uint64_t part) {
        const auto found = suspects_.find({SuspectKind::kPromptPart, part});
        return found != suspects_.end() && blocked_parts_.contains(part) &&
               now - found->second.last_lost_at < kPartBlockPeriod;
      });
}

int CrashingRequestTracker::ScoreOf(const LossEvidence& evidence,
                                    const std::set<TargetProcess>& explained) {
  return static_cast<int>(evidence.Count(explained).events) -
         AnswerWeight(evidence);
}

bool CrashingRequestTracker::IsEnoughToBlockPart(
    const LossEvidence& evidence,
    const std::set<TargetProcess>& explained) {
  return ScoreOf(evidence, {}) >= kScoreUntilPartBlocked &&
         ScoreOf(evidence, explained) >= kUnexplainedScoreUntilPartBlocked &&
         evidence.CountRequests() >= kRequestsUntilPartBlocked;
}

std::optional<uint64_t> CrashingRequestTracker::FindPartToBlock(
    const std::map<uint64_t, base::Millis>& blocked,
    const std::set<TargetProcess>& explained) const {
  struct Candidate {
    int score = 0;
    int position = 0;
    uint64_t prompt_part = 0;
  };
  std::vector<Candidate> candidates;
  int best_score = 0;
  for (const auto& it : suspects_) {
    const LossEvidence& evidence = it.second;
    if (it.first.kind == SuspectKind::kPromptPart &&
        evidence.processes.size() >= kScoreUntilPartBlocked &&
        !blocked.contains(it.first.hash) &&
        IsEnoughToBlockPart(evidence, explained)) {
      const int score = ScoreOf(evidence, explained);
      candidates.push_back({score, evidence.position, it.first.hash});
      best_score = std::max(best_score, score);
    }
  }
  std::erase_if(candidates, [&](const Candidate& it) {
    return it.score + kUnexplainedScoreUntilPartBlocked <= best_score;
  });
  // Prompts that differ share their first parts, so the last part is blamed.
  const auto best =
      std::max_element(candidates.begin(), candidates.end(),
                       [](const Candidate& a, const Candidate& b) {
                         return std::tuple(a.position, a.score, a.prompt_part) <
                                std::tuple(b.position, b.score, b.prompt_part);
                       });
  return best == candidates.end() ? std::nullopt
                                  : std::optional(best->prompt_part);
}

void CrashingRequestTracker::UpdateBlockedParts(base::Millis now) {
  std::map<uint64_t, base::Millis> blocked;
  std::set<TargetProcess> explained;
  const auto block = [&](uint64_t part, base::Millis since) {
    blocked[part] = since;
    for (const auto& it :
         suspects_.at({SuspectKind::kPromptPart, part}).processes) {
      explained.insert(it.first);
    }
  };
  for (const auto& it : blocked_parts_) {
    const auto found = suspects_.find({SuspectKind::kPromptPart, it.first});
    if (now - it.second >= kAttributionPeriod && found != suspects_.end() &&
        ScoreOf(found->second, {}) >= kScoreUntilPartBlocked) {
      block(it.first, it.second);
    }
  }
  while (const auto part = FindPartToBlock(blocked, explained)) {
    const auto known = blocked_parts_.find(*part);
    block(*part, known == blocked_parts_.end() ? now : known->second);
  }
  for (const auto& it : blocked) {
    if (!blocked_parts_.contains(it.first)) {
      RecordPartChange(it.first, true);
    }
  }
  for (const auto& it : blocked_parts_) {
    if (!blocked.contains(it.first)) {
      RecordPartChange(it.first, false);
    }
  }
  blocked_parts_ = std::move(blocked);
  explained_ = std::move(explained);
}

void CrashingRequestTracker::RecordPartChange(uint64_t prompt_part,
                                              bool is_blocked) {
  const auto it = suspects_.find({SuspectKind::kPromptPart, prompt_part});
  const LossEvidence evidence =
      it == suspects_.end() ? LossEvidence() : it->second;
  part_changes_.push_back({prompt_part, is_blocked, evidence.Count(),
                           evidence.CountRequests(), evidence.answers});
}

void CrashingRequestTracker::RemoveExpired(base::Millis now) {
  while (!recent_losses_.empty() &&
         (now - recent_losses_.front().lost_at >= kRetentionPeriod ||
          recent_losses_.size() > kMaximumTracked)) {
    recent_losses_.pop_front();
  }
  std::erase_if(suspects_, [&](const auto& it) {
    return HasExpired(it.first, it.second, now);
  });
  while (suspects_.size() > kMaximumTracked) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
          return std::pair(!a.second.processes.empty(), a.second.last_lost_at) <
                 std::pair(!b.second.processes.empty(), b.second.last_lost_at);
        }));
  }
}

}  // namespace daisypond::forward

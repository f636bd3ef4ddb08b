#include "control/changelog.h"
#include "control/fold.h"

namespace cumingauge::control {

namespace {

bool contradicts(const ChangeLog &Log, const model::Change &Entry) {
  const model::Change *Kept = findEntry(Log, Entry.Version_);
  return Kept && *Kept != Entry;
}

void appendRecent(ChangeLog &Log, const model::Change &Entry) {
  Log.RecentEntries_.push_back(std::make_shared<const model::Change>(Entry));
  while (Log.RecentEntries_.size() > Log.MaxRecentEntries_)
    Log.RecentEntries_.pop_front();
}

} // namespace

AppendResult appendEntries(ChangeLog &Log,
                           const std::vector<model::Change> &Entries) {
  AppendResult Out = AppendResult::Known;
  std::shared_ptr<model::ConfigState> Next;
  for (const model::Change &Entry : Entries) {
    const model::ConfigState &Current = Next ? *Next : *Log.State_;
    if (Entry.Version_ <= Current.Version_) {
      if (contradicts(Log, Entry)) {
        Out = AppendResult::Diverged;
        break;
      }
      continue;
    }
    if (Entry.Version_ != Current.Version_ + 1) {
      Out = Next ? AppendResult::Applied : AppendResult::Gap;
      break;
    }
    if (Entry.BasisDigest_ != Current.LogDigest_) {
      Out = AppendResult::Diverged;
      break;
    }
    if (!Next)
      Next = std::make_shared<model::ConfigState>(*Log.State_);
    auto Applied = apply(Entry, std::move(*Next));
    *Next = std::move(Applied.value()); // version and digest were checked above
    appendRecent(Log, Entry);
    Out = AppendResult::Applied;
  }
  if (Next)
    Log.State_ = std::move(Next);
  return Out;
}

bool installState(ChangeLog &Log, model::ConfigState State,
                  const std::vector<model::Change> &Entries) {
  const model::ConfigState &Current = *Log.State_;
  if (State.Version_ < Current.Version_ ||
      (State.Version_ == Current.Version_ &&
       State.LogDigest_ == Current.LogDigest_))
    return false;
  Log.RecentEntries_.clear();
  for (const model::Change &Entry : Entries)
    appendRecent(Log, Entry);
  Log.State_ = std::make_shared<const model::ConfigState>(std::move(State));
  return true;
}

std::vector<model::Change>
entriesAfter(const ChangeLog &Log, std::uint64_t Version, std::size_t Limit) {
  std::vector<model::Change> Out;
  if (Log.RecentEntries_.empty() ||
      Log.RecentEntries_.front()->Version_ > Version + 1)
    return Out;
  for (const auto &Entry : Log.RecentEntries_)
    if (Entry->Version_ > Version && Out.size() < Limit)
      Out.push_back(*Entry);
  return Out;
}

const model::Change *findEntry(const ChangeLog &Log, std::uint64_t Version) {
  if (Log.RecentEntries_.empty() ||
      Version < Log.RecentEntries_.front()->Version_)
    return nullptr;
  const std::uint64_t Index = Version - Log.RecentEntries_.front()->Version_;
  return Index < Log.RecentEntries_.size() ? Log.RecentEntries_[Index].get()
                                           : nullptr;
}

} // namespace cumingauge::control

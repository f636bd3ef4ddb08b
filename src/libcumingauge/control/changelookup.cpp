#include "control/changelookup.h"
#include "control/storecodec.h"
#include "control/storekeys.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using Verdict = LookupResult::Verdict;

/// Returns the version of a change, or 0 when its id is not among the recent
/// ones. Every version adds exactly one id, so its index gives the version.
std::uint64_t versionOfId(const model::ConfigState &State,
                          const std::string &Id) {
  const auto &Ids = State.RecentChangeIds_;
  const auto Found = std::find(Ids.begin(), Ids.end(), Id);
  if (Found == Ids.end())
    return 0;
  return State.Version_ - static_cast<std::uint64_t>(Ids.end() - Found) + 1;
}

void conclude(ChangeLookup &Lookup) {
  const model::ConfigState &State = Lookup.Reader_.State_;
  LookupResult Result;
  Result.LatestVersion_ = State.Version_;
  Result.OldestSearched_ = State.Version_ - State.RecentChangeIds_.size();
  if (Lookup.Reader_.Phase_ == StateReader::Phase::Failed) {
    Result.Verdict_ = Verdict::Unreadable;
    Lookup.Result_ = std::move(Result);
    return;
  }
  Result.Version_ = versionOfId(State, Lookup.Id_);
  if (Result.Version_ == 0) {
    Lookup.Result_ = std::move(Result);
    return;
  }
  Result.Verdict_ = Verdict::Accepted;
  for (const model::Change &Entry : Lookup.Reader_.Entries_)
    if (Entry.Id_ == Lookup.Id_)
      Result.Change_ = Entry;
  if (Result.Change_)
    Lookup.Result_ = std::move(Result);
  else
    Lookup.FetchVersion_ = Result.Version_;
}

void handleEntry(ChangeLookup &Lookup, const ports::StoreResponse &Answer) {
  const model::ConfigState &State = Lookup.Reader_.State_;
  LookupResult Result;
  Result.Verdict_ = Verdict::Accepted;
  Result.Version_ = Lookup.FetchVersion_;
  Result.LatestVersion_ = State.Version_;
  Result.OldestSearched_ = State.Version_ - State.RecentChangeIds_.size();
  const auto Entry = decodeChange(Answer.Value_);
  if (Answer.Found_ && Entry && Entry->Id_ == Lookup.Id_)
    Result.Change_ = *Entry;
  Lookup.Result_ = std::move(Result);
}

} // namespace

std::optional<ports::StoreRequest> nextRequest(const ChangeLookup &Lookup) {
  if (Lookup.Result_)
    return std::nullopt;
  if (Lookup.FetchVersion_ == 0)
    return nextRequest(Lookup.Reader_);
  ports::StoreRequest Out;
  Out.Operation_ = ports::StoreOperation::Get;
  Out.Key_ = entryKey(Lookup.FetchVersion_);
  return Out;
}

void handleResponse(ChangeLookup &Lookup, const ports::StoreResponse &Answer) {
  if (Answer.Code_ != model::ResultCode::Ok || Lookup.Result_)
    return;
  if (Lookup.FetchVersion_ > 0) {
    handleEntry(Lookup, Answer);
    return;
  }
  handleResponse(Lookup.Reader_, Answer);
  if (!nextRequest(Lookup.Reader_))
    conclude(Lookup);
}

} // namespace cumingauge::control

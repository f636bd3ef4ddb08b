#include "control/evacuations.h"
#include "control/corestate.h"
#include "control/directoryevidence.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::EventKind;

/// Time after a restore of the directory from a copy in which operators write
/// again what was lost.
constexpr model::seconds RewriteTime{6};

/// Returns the time as of which the list of servers must be complete before a
/// zone that is taken back now may be used.
model::TimePoint returnTime(const CoreState &State) {
  const auto &RestoredAt = State.Directory_.Era_.RestoredAt_;
  return RestoredAt ? std::max(State.Now_, *RestoredAt + RewriteTime)
                    : State.Now_;
}

void requestZone(CoreState &State, const std::string &Zone) {
  EvacuationTable &Table = State.Directory_.Evacuations_;
  const bool WasInUse = Table.Returning_.erase(Zone) == 0;
  if (Table.Requested_.insert(Zone).second && WasInUse)
    record(State, EventKind::ZoneEvacuated, Zone, versionOf(State));
}

void withdrawZone(CoreState &State, const std::string &Zone) {
  EvacuationTable &Table = State.Directory_.Evacuations_;
  if (Table.Requested_.erase(Zone) > 0)
    Table.Returning_[Zone] = returnTime(State);
}

/// Advances the position up to which requests are known.
/// \returns false when it is known up to a later one.
bool advance(EvacuationTable &Table, DirectoryRevision At) {
  if (At < Table.Revision_)
    return false;
  Table.Revision_ = At;
  return true;
}

} // namespace

std::set<std::string> evacuatedZones(const EvacuationTable &Table) {
  std::set<std::string> Out = Table.Requested_;
  for (const auto &Entry : Table.Returning_)
    Out.insert(Entry.first);
  return Out;
}

bool applyZoneRequests(CoreState &State, const std::set<std::string> &Requested,
                       DirectoryRevision At) {
  EvacuationTable &Table = State.Directory_.Evacuations_;
  if (!advance(Table, At) || Requested == Table.Requested_)
    return false;
  const std::set<std::string> Former = Table.Requested_;
  for (const std::string &Zone : Former)
    if (Requested.count(Zone) == 0)
      withdrawZone(State, Zone);
  for (const std::string &Zone : Requested)
    requestZone(State, Zone);
  return true;
}

bool applyZoneChanges(CoreState &State,
                      const std::vector<ports::ZoneRequest> &Changes,
                      DirectoryRevision At) {
  if (!advance(State.Directory_.Evacuations_, At))
    return false;
  for (const ports::ZoneRequest &Change : Changes)
    if (Change.Evacuated_)
      requestZone(State, Change.Zone_);
    else
      withdrawZone(State, Change.Zone_);
  return !Changes.empty();
}

bool finishZoneReturns(CoreState &State) {
  auto &Returning = State.Directory_.Evacuations_.Returning_;
  const model::TimePoint Known = serversConfirmedAt(State);
  bool Out = false;
  for (auto It = Returning.begin(); It != Returning.end();) {
    if (Known < It->second) {
      ++It;
      continue;
    }
    record(State, EventKind::ZoneReturned, It->first, versionOf(State));
    It = Returning.erase(It);
    Out = true;
  }
  return Out;
}

} // namespace cumingauge::control

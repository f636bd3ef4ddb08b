#include "control/directoryera.h"
#include "control/corestate.h"
#include <string>

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::ResultCode;

constexpr model::seconds OlderEraAlarmInterval{60};

std::string describeRestore(const CoreState &State,
                            const ports::DirectoryResponse &Response) {
  const DirectoryFollower &Follower = State.Directory_;
  const std::string Revision =
      Response.Revision_ == 0 ? "unknown" : std::to_string(Response.Revision_);
  return "era " + std::to_string(Response.Era_) + " after " +
         std::to_string(Follower.Era_.Number_) + "; revision " + Revision +
         " after " + std::to_string(Follower.KnownRevision_.Number_);
}

void recordOlderEra(CoreState &State, std::uint64_t Number) {
  DirectoryEra &Era = State.Directory_.Era_;
  if (!isDue(Era.OlderAt_, OlderEraAlarmInterval, State.Now_))
    return;
  Era.OlderAt_ = State.Now_;
  record(State, EventKind::Alarm, "store", versionOf(State),
         ResultCode::StoreBehindFleet,
         "response of era " + std::to_string(Number) + ", older than " +
             std::to_string(Era.Number_));
}

} // namespace

DirectoryRevision revisionNow(const CoreState &State, std::uint64_t Number) {
  return {State.Directory_.Era_.Number_, Number};
}

void observeEra(CoreState &State, const ports::DirectoryResponse &Response) {
  DirectoryEra &Era = State.Directory_.Era_;
  if (Response.Era_ == 0 || Response.Era_ == Era.Number_)
    return;
  if (Response.Era_ < Era.Number_)
    return recordOlderEra(State, Response.Era_);
  if (Era.Number_ > 0) {
    ++Era.Restores_;
    record(State, EventKind::StoreRestored, "store", versionOf(State),
           ResultCode::Ok, describeRestore(State, Response));
  }
  Era.Number_ = Response.Era_;
}

} // namespace cumingauge::control

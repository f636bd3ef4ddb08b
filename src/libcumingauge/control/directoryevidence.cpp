#include "control/directoryevidence.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directorylinks.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

/// Fraction of the leaving bound after which updates count as missing. A reader
/// calls more often than that, and the rest of the bound suffices for a call by
/// this process itself.
constexpr double MissingFraction = 0.6;
/// MissingFraction of a reader; smaller, so that it has called the directory
/// before the processes that rely on it count its updates as missing.
constexpr double ReaderMissingFraction = 0.5;

} // namespace

model::TimePoint confirmedAt(const DirectoryFeed &Feed) {
  return std::max(Feed.ConfirmedAt_,
                  Feed.PeerConfirmedAt_.value_or(Feed.ConfirmedAt_));
}

bool isDirectoryRead(const CoreState &State) {
  return State.Directory_.Servers_.Read_ &&
         State.Directory_.Configuration_.Read_;
}

model::TimePoint serversConfirmedAt(const CoreState &State) {
  return confirmedAt(State.Directory_.Servers_);
}

model::TimePoint configurationConfirmedAt(const CoreState &State) {
  return confirmedAt(State.Directory_.Configuration_);
}

model::TimePoint directoryConfirmedAt(const CoreState &State) {
  return std::min(confirmedAt(State.Directory_.Configuration_),
                  confirmedAt(State.Directory_.Servers_));
}

bool mustCallDirectory(const CoreState &State, const DirectoryFeed &Feed) {
  if (!Feed.PeerConfirmedAt_)
    return true;
  const double Missing =
      isReader(State) ? ReaderMissingFraction : MissingFraction;
  return State.Now_ - *Feed.PeerConfirmedAt_ >=
         fractionOfLeavingBound(State, Missing);
}

} // namespace cumingauge::control

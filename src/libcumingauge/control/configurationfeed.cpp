#include "control/configurationfeed.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directorylinks.h"
#include <algorithm>
#include <utility>

namespace cumingauge::control {

using model::EventKind;
using model::ResultCode;
using ports::DirectoryTopic;

void followConfiguration(CoreState &State) {
  DirectoryFeed &Feed = State.Directory_.Configuration_;
  if (shouldCall(State, Feed))
    issueCall(State, Feed, nextRequest(Feed, DirectoryTopic::Configuration));
}

void handleConfigurationResponse(CoreState &State,
                                 const ports::DirectoryResponse &Response) {
  DirectoryFeed &Feed = State.Directory_.Configuration_;
  const bool HasChanges = Response.Configuration_.has_value();
  if (canHaveMissedChanges(State, Feed, Response, HasChanges)) {
    Feed.Revision_ = 0;
    Feed.NextAt_ = State.Now_;
    return;
  }
  Feed.ConfirmedAt_ = std::max(Feed.ConfirmedAt_, Feed.IssuedAt_);
  Feed.NextAt_ = HasChanges ? State.Now_ + callPause(State) : State.Now_;
  Feed.Revision_ = std::max(Feed.Revision_, Response.Revision_);
  Feed.Read_ = true;
  if (HasChanges)
    applyConfiguration(State, *Response.Configuration_);
  sendDirectoryUpdates(State);
}

void applyConfiguration(CoreState &State,
                        const ports::ListedConfiguration &Read) {
  const std::uint64_t Own = versionOf(State);
  if (Read.Version_ < Own)
    return record(State, EventKind::Alarm, "configuration", Read.Version_,
                  ResultCode::StoreBehindFleet,
                  "version is older than the one in use; ignored");
  if (Read.Version_ == Own)
    return;
  model::ConfigState Next = *State.Log_.State_;
  Next.Version_ = Read.Version_;
  Next.PresetInForce_ = Read.Preset_.Name_;
  Next.Presets_ = {{Read.Preset_.Name_, Read.Preset_}};
  rebuildState(State, std::move(Next));
  record(State, EventKind::ChangeApplied, Read.Preset_.Name_, Read.Version_);
}

void rebuildState(CoreState &State, model::ConfigState Next) {
  Next.Servers_.clear();
  Next.LeavingVms_.clear();
  for (const auto &[Name, Listed] : State.Directory_.Listed_) {
    Next.Servers_[Name] = Listed.Server_;
    if (Listed.Leaving_ || isDeparted(State, Listed))
      Next.LeavingVms_[Name] = Listed.Server_.Vm_;
  }
  State.Log_.State_ =
      std::make_shared<const model::ConfigState>(std::move(Next));
  State.HasState_ = State.HasState_ || (State.Directory_.Configuration_.Read_ &&
                                        State.Directory_.Servers_.Read_);
  State.Confirmed_ = State.HasState_;
  State.ViewChanged_ = true;
}

} // namespace cumingauge::control

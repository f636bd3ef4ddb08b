#include "control/configurationfeed.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/updatesender.h"
#include <algorithm>
#include <utility>

namespace cumingauge::control {

using model::EventKind;
using model::ResultCode;
using ports::DirectoryTopic;

namespace {

/// Adds a page to the read that is under way.
/// \returns true when it was the last one.
bool addPage(CoreState &State, const ports::DirectoryResponse &Response) {
  DirectoryFollower &Follower = State.Directory_;
  if (!Follower.ConfigurationRead_)
    Follower.ConfigurationRead_ =
        ConfigurationRead{std::nullopt,
                          {},
                          "",
                          Response.Revision_,
                          Follower.Configuration_.IssuedAt_};
  ConfigurationRead &Read = *Follower.ConfigurationRead_;
  if (Response.Configuration_)
    Read.Configuration_ = Response.Configuration_;
  for (const ports::ZoneRequest &Zone : Response.Zones_)
    Read.Zones_.insert(Zone.Zone_);
  Read.NextPage_ = Response.Next_;
  return Response.Next_.empty();
}

/// Handles a page of a read, and applies the read when it is whole.
void handlePage(CoreState &State, const ports::DirectoryResponse &Response) {
  DirectoryFollower &Follower = State.Directory_;
  DirectoryFeed &Feed = Follower.Configuration_;
  Feed.NextAt_ = State.Now_;
  if (!addPage(State, Response))
    return;
  const ConfigurationRead Read =
      *std::exchange(Follower.ConfigurationRead_, std::nullopt);
  Feed.ConfirmedAt_ = std::max(Feed.ConfirmedAt_, Read.RequestedAt_);
  Feed.NextAt_ = State.Now_ + callPause(State);
  Feed.Revision_ = Read.Revision_;
  Feed.Read_ = true;
  if (applyZoneRequests(State, Read.Zones_, revisionNow(State, Read.Revision_)))
    rebuildState(State, *State.Log_.State_);
  if (Read.Configuration_)
    applyConfiguration(State, *Read.Configuration_);
  sendDirectoryUpdates(State);
}

} // namespace

void followConfiguration(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  DirectoryFeed &Feed = Follower.Configuration_;
  if (Feed.Call_ != 0)
    return;
  // Pages that were read before a pause of the calls may be outdated.
  if (!shouldCall(State, Feed))
    return Follower.ConfigurationRead_.reset();
  ports::DirectoryRequest Request =
      nextRequest(Feed, DirectoryTopic::Configuration);
  if (Follower.ConfigurationRead_)
    Request.Page_ = Follower.ConfigurationRead_->NextPage_;
  issueCall(State, Feed, std::move(Request));
}

void handleConfigurationResponse(CoreState &State,
                                 const ports::DirectoryResponse &Response) {
  DirectoryFeed &Feed = State.Directory_.Configuration_;
  if (Feed.Revision_ == 0 && !Response.IsCompacted_)
    return handlePage(State, Response);
  const bool HasChanges = hasOperatorChanges(Response);
  if (canHaveMissedChanges(State, Feed, Response, HasChanges)) {
    Feed.Revision_ = 0;
    Feed.NextAt_ = State.Now_;
    return;
  }
  Feed.ConfirmedAt_ = std::max(Feed.ConfirmedAt_, Feed.IssuedAt_);
  Feed.NextAt_ = HasChanges ? State.Now_ + callPause(State) : State.Now_;
  applyOperatorChanges(State, Response);
  Feed.Revision_ = std::max(Feed.Revision_, Response.Revision_);
  sendDirectoryUpdates(State);
}

bool hasOperatorChanges(const ports::DirectoryResponse &Response) {
  return Response.Configuration_ || !Response.Zones_.empty();
}

void applyOperatorChanges(CoreState &State,
                          const ports::DirectoryResponse &Response) {
  if (applyZoneChanges(State, Response.Zones_,
                       revisionNow(State, Response.Revision_)))
    rebuildState(State, *State.Log_.State_);
  if (Response.Configuration_)
    applyConfiguration(State, *Response.Configuration_);
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
  Next.EvacuatedZones_ = evacuatedZones(State.Directory_.Evacuations_);
  State.Log_.State_ =
      std::make_shared<const model::ConfigState>(std::move(Next));
  State.HasState_ = State.HasState_ || (State.Directory_.Configuration_.Read_ &&
                                        State.Directory_.Servers_.Read_);
  State.Confirmed_ = State.HasState_;
  State.ViewChanged_ = true;
}

} // namespace cumingauge::control

#include "control/core.h"
#include "control/corestate.h"
#include "control/credit.h"
#include "control/directoryevidence.h"
#include "control/directoryfollower.h"
#include "control/gossip.h"
#include "control/heartbeats.h"
#include "control/linkmanager.h"
#include "control/membership.h"
#include "control/serverreports.h"
#include "control/updatereceiver.h"
#include "control/updatesender.h"
#include "control/viewpublisher.h"

namespace cumingauge::control {

namespace {

using model::EventKind;

/// Minimum gap between two steps that counts as a pause of the process.
constexpr model::seconds PauseThreshold{1};

/// Resets what a pause of the process has invalidated: no earlier exchange
/// proves that the state is up to date, and the silence of the peers was caused
/// by the pause.
void recoverFromPause(CoreState &State, model::Duration Gap) {
  State.PauseEndedAt_ = State.Now_;
  State.LastExchange_.reset();
  State.Follower_.Failures_ = 0;
  State.Follower_.IsUnreachable_ = false;
  restartStoreFollower(State);
  if (State.Settings_.FollowsDirectory_)
    rereadDirectory(State);
  discardSentHeartbeats(State);
  for (auto &[Id, Value] : State.Links_.Links_)
    Value.LastReceivedAt_ = State.Now_;
  record(State, EventKind::PauseFound, State.Members_.Self_, versionOf(State),
         model::ResultCode::Ok,
         std::to_string(
             std::chrono::duration_cast<model::milliseconds>(Gap).count()) +
             " ms");
  if (!State.Settings_.FollowsDirectory_)
    sendHeartbeatsNow(State);
}

/// Sets the time of this step and handles a pause since the last one.
void advanceTime(CoreState &State, model::TimePoint Now) {
  State.Now_ = std::max(State.Now_, Now);
  if (State.LastStep_ && State.Now_ - *State.LastStep_ >= PauseThreshold)
    recoverFromPause(State, State.Now_ - *State.LastStep_);
  State.LastStep_ = State.Now_;
}

/// Handles the messages that a peer or an operator may send.
struct PeerMessageHandler {
  CoreState &State_;
  Link &From_;

  void operator()(const Heartbeat &Message) const {
    if (!State_.Settings_.FollowsDirectory_)
      handleHeartbeat(State_, From_, Message);
  }
  void operator()(const Entries &Message) const {
    if (Message.Changes_.empty())
      return;
    From_.PeerVersion_ =
        std::max(From_.PeerVersion_, Message.Changes_.back().Version_);
    applyEntries(State_, Message.Changes_, From_.Id_);
  }
  void operator()(const EntriesRequest &Message) const {
    handleEntriesRequest(State_, From_, Message);
  }
  void operator()(const StateChunk &Message) const {
    handleStateChunk(State_, From_, Message);
  }
  void operator()(const MemberUpdate &Message) const {
    if (!From_.Operator_)
      handleMemberUpdate(State_, From_, Message);
  }
  void operator()(const ServerReports &Message) const {
    handleServerReports(State_, From_, Message);
  }
  void operator()(const StatusRequest &Message) const {
    emitCommand(State_, AnswerOperator{From_.Id_, Message});
  }
  void operator()(const TimelineRequest &Message) const {
    emitCommand(State_, AnswerOperator{From_.Id_, Message});
  }
  void operator()(const DirectorySubscription &Message) const {
    if (!From_.Operator_)
      handleDirectorySubscription(State_, From_, Message);
  }
  void operator()(const DirectoryNotRead & /*Message*/) const {
    if (!From_.Operator_)
      handleDirectoryNotRead(State_, From_);
  }
  void operator()(const DirectoryUpdate &Message) const {
    if (!From_.Operator_)
      handleDirectoryUpdate(State_, From_, Message);
  }
  void operator()(const CreditRequest &Message) const {
    if (!From_.Operator_)
      handleCreditRequest(State_, From_, Message);
  }
  void operator()(const CreditReply &Message) const {
    if (!From_.Operator_)
      handleCreditReply(State_, Message);
  }
  void operator()(const StatusReply & /*Message*/) const {}
  void operator()(const TimelineReply & /*Message*/) const {}
};

/// Handles the inputs of the state machine.
struct InputHandler {
  CoreState &State_;

  void operator()(const Started & /*Input*/) const {
    State_.StartedAt_ = State_.Now_;
    record(State_, EventKind::ProcessStarted, State_.Members_.Self_);
    tick();
  }
  void operator()(const Ticked & /*Input*/) const { tick(); }
  void operator()(const StoreResponseReceived &Input) const {
    if (handleStoreResponse(State_, Input.Call_, Input.Response_))
      followStore(State_);
    else if (!handleSnapshotResponse(State_, Input.Call_, Input.Response_))
      handleVmListResponse(State_, Input.Call_, Input.Response_);
  }
  void operator()(const DirectoryResponseReceived &Input) const {
    handleDirectoryResponse(State_, Input.Call_, Input.Response_);
  }
  void operator()(const LinkOpened &Input) const {
    handleLinkOpened(State_, Input);
    advanceCredit(State_);
  }
  void operator()(const LinkClosed &Input) const {
    handleLinkClosed(State_, Input);
    advanceCredit(State_);
  }
  void operator()(const LinkFailed &Input) const {
    handleLinkFailed(State_, Input);
    // When the whole fleet starts at once many peers do not listen yet.
    if (State_.Settings_.FollowsDirectory_ && !State_.Directory_.Servers_.Read_)
      followDirectory(State_);
    advanceCredit(State_);
  }
  void operator()(const PeerMessageReceived &Input) const {
    Link *From = findLink(State_.Links_, Input.Link_);
    if (!From)
      return;
    From->LastReceivedAt_ = State_.Now_;
    std::visit(PeerMessageHandler{State_, *From}, Input.Message_);
  }
  void operator()(const ServerReportReceived &Input) const {
    handleServerReport(State_, Input.Observation_);
  }
  void operator()(const CreditWanted &Input) const {
    handleCreditWanted(State_, Input);
  }
  void operator()(const Stopping & /*Input*/) const {
    record(State_, EventKind::ProcessStopping, State_.Members_.Self_);
    announceLeave(State_);
    endCredit(State_);
  }

  void tick() const {
    if (!State_.StartedAt_ || State_.IsStopping_)
      return;
    if (State_.Settings_.FollowsDirectory_) {
      followDirectory(State_);
      return followCredit(State_);
    }
    maintainLinks(State_);
    sendDueHeartbeats(State_);
    detectFailures(State_);
    requestMissingEntries(State_);
    followStore(State_);
    pollVmList(State_);
    writeSnapshots(State_);
    sendObservations(State_);
  }
};

} // namespace

std::shared_ptr<CoreState> makeCore(const CoreSettings &Settings,
                                    std::uint64_t Seed) {
  auto Out = std::make_shared<CoreState>();
  Out->Settings_ = Settings;
  Out->Random_ = pcg32(Seed);
  Out->Log_.MaxRecentEntries_ = Settings.KeptEntries_;
  Out->Members_.Self_ = Settings.Self_.Process_;
  Out->Members_.Records_[Settings.Self_.Process_] = {Settings.Self_, {}};
  return Out;
}

std::vector<CoreCommand> step(CoreState &State, const CoreInput &Input,
                              model::TimePoint Now) {
  advanceTime(State, Now);
  std::visit(InputHandler{State}, Input);
  publishView(State);
  return std::exchange(State.Commands_, {});
}

model::TimePoint lastExchange(const CoreState &State) {
  if (State.Settings_.FollowsDirectory_)
    return directoryConfirmedAt(State);
  return State.LastExchange_.value_or(model::TimePoint());
}

model::ConfigurationKnowledge
configurationKnowledge(const CoreState &State, const FreshnessLimits &Limits) {
  if (!State.Settings_.FollowsDirectory_)
    return {versionOf(State), lastExchange(State),
            dispatchDeadline(freshnessFacts(State), Limits)};
  const model::TimePoint ConfirmedAt = configurationConfirmedAt(State);
  return {versionOf(State), ConfirmedAt,
          ConfirmedAt + State.Settings_.LeavingBound_};
}

const DirectoryEra &directoryEra(const CoreState &State) {
  return State.Directory_.Era_;
}

FreshnessFacts freshnessFacts(const CoreState &State) {
  FreshnessFacts Out;
  Out.LastStep_ = State.LastStep_.value_or(model::TimePoint());
  Out.LastExchange_ = State.LastExchange_;
  Out.StoreAway_ = State.Follower_.IsUnreachable_;
  Out.AllowsStaleView_ = State.Settings_.FollowsDirectory_;
  Out.HasLinks_ = !peerLinks(State.Links_).empty();
  Out.OthersKnown_ = !State.Settings_.SeedPeers_.empty() ||
                     listedEntryVms(State) > 1 || hasOtherMembers(State);
  return Out;
}

model::ProcessStatus describeCore(const CoreState &State,
                                  model::TimePoint Now) {
  model::ProcessStatus Out;
  const model::Member &Self =
      findMember(State.Members_, State.Members_.Self_)->Member_;
  Out.Process_ = Self.Process_;
  Out.Incarnation_ = Self.Incarnation_;
  Out.Zone_ = Self.Zone_;
  Out.Region_ = Self.Region_;
  Out.Version_ = versionOf(State);
  Out.Preset_ = State.Log_.State_->PresetInForce_;
  Out.EvacuatedZones_ = State.Log_.State_->EvacuatedZones_;
  Out.ViewAgeMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<model::milliseconds>(Now - lastExchange(State))
          .count());
  Out.Confirmed_ = State.Confirmed_;
  Out.StoreAway_ = State.Follower_.IsUnreachable_;
  Out.FleetSize_ = fleetSize(State);
  Out.Links_ = static_cast<unsigned>(peerLinks(State.Links_).size());
  for (const auto &[Name, Record] : State.Members_.Records_)
    Out.Members_.push_back(Record.Member_);
  return Out;
}

} // namespace cumingauge::control

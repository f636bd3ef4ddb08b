#pragma once

#include "control/changelog.h"
#include "control/core.h"
#include "control/directoryfollower.h"
#include "control/leavingtable.h"
#include "control/linktable.h"
#include "control/membertable.h"
#include "control/snapshotwriter.h"
#include "control/storefollower.h"
#include "control/vmlist.h"
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace cumingauge::control {

/// Everything that the control state of one process holds.
struct CoreState {
  CoreSettings Settings_;
  pcg32 Random_;
  model::TimePoint Now_;
  std::optional<model::TimePoint> LastStep_;
  std::optional<model::TimePoint> StartedAt_;
  std::optional<model::TimePoint> PauseEndedAt_;
  std::optional<model::TimePoint> LastExchange_;
  bool IsStopping_ = false;

  ChangeLog Log_;
  bool HasState_ = false;  ///< loaded, learnt from peers, or proven empty
  bool Confirmed_ = false; ///< compared with the store since the start
  std::optional<model::TimePoint> FirstStateAt_;
  StoreFollower Follower_;
  DirectoryFollower Directory_;
  SnapshotWriter Snapshots_;
  VmList Vms_;
  MemberTable Members_;
  std::set<std::string> ChangedMembers_; ///< members to tell the peers about
  LinkTable Links_;
  LeavingTable Leaving_;
  std::set<std::string> LeavingServers_; ///< as last published
  std::vector<ServerObservation> ObservationsToSend_;
  std::optional<model::TimePoint> DisagreementAt_; ///< last alarm
  std::optional<model::TimePoint> BehindAt_;       ///< last alarm

  bool ViewChanged_ = false;
  std::shared_ptr<const model::ControlView> View_;
  StoreCallId LastCall_ = 0;
  std::vector<CoreCommand> Commands_;
};

/// Adds an order to the result of this step.
void emitCommand(CoreState &State, CoreCommand Order);

void record(CoreState &State, model::EventKind Kind, std::string Subject,
            std::uint64_t Version = 0,
            model::ResultCode Reason = model::ResultCode::Ok,
            std::string Detail = "");

/// Orders a store call and returns its id.
StoreCallId callStore(CoreState &State, ports::StoreRequest Request);

void send(CoreState &State, const Link &To, PeerMessage Message);

/// A random factor between 0.75 and 1.25 times a period.
model::Duration jittered(CoreState &State, model::Duration Period);

/// True when an event that repeats at most once per interval is due.
bool isDue(const std::optional<model::TimePoint> &Last,
           model::Duration Interval, model::TimePoint Now);

std::uint64_t versionOf(const CoreState &State);

/// The part of a digest that heartbeats carry.
std::uint32_t shortDigest(std::uint64_t Digest);

/// Live members other than this process.
std::vector<const model::Member *> livePeers(const CoreState &State);

/// Larger of the VM list's count and the live members; at least 1.
unsigned fleetSize(const CoreState &State);

} // namespace cumingauge::control

#pragma once

#include "control/changelog.h"
#include "control/core.h"
#include "control/creditstate.h"
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

/// All data of the control state of one process.
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
  bool HasState_ = false;  ///< loaded, received from peers, or proven empty
  bool Confirmed_ = false; ///< compared with the store since process start
  std::optional<model::TimePoint> FirstStateAt_;
  StoreFollower Follower_;
  DirectoryFollower Directory_;
  CreditState Credit_;
  SnapshotWriter Snapshots_;
  VmList Vms_;
  MemberTable Members_;
  /// Names of members whose records changed and are still to be sent.
  std::set<std::string> ChangedMembers_;
  LinkTable Links_;
  LeavingTable Leaving_;
  /// Leaving servers in the last published view.
  std::set<std::string> LeavingServers_;
  std::vector<ServerObservation> ObservationsToSend_;
  /// Time of the last alarm about contents that differ.
  std::optional<model::TimePoint> DisagreementAt_;
  /// Time of the last alarm about a store that is behind.
  std::optional<model::TimePoint> BehindAt_;

  bool ViewChanged_ = false;
  std::shared_ptr<const model::ControlView> View_;
  StoreCallId LastCall_ = 0;
  std::vector<CoreCommand> Commands_;
};

/// Adds a command to the result of this step.
void emitCommand(CoreState &State, CoreCommand Command);

/// Issues a command to record an event.
void record(CoreState &State, model::EventKind Kind, std::string Subject,
            std::uint64_t Version = 0,
            model::ResultCode Reason = model::ResultCode::Ok,
            std::string Detail = "");

/// Issues a store call and returns its id.
StoreCallId callStore(CoreState &State, ports::StoreRequest Request);

/// Issues a command to send a message on a link.
void send(CoreState &State, const Link &To, PeerMessage Message);

/// Returns the period multiplied by a random factor between 0.75 and 1.25.
model::Duration jittered(CoreState &State, model::Duration Period);

/// Returns true when something that happens at most once per interval is due.
bool isDue(const std::optional<model::TimePoint> &Last,
           model::Duration Interval, model::TimePoint Now);

/// Returns the version of the configuration in use.
std::uint64_t versionOf(const CoreState &State);

/// Returns the lower 32 bits of a digest, which heartbeats carry.
std::uint32_t shortDigest(std::uint64_t Digest);

/// Returns the live members other than this process.
std::vector<const model::Member *> livePeers(const CoreState &State);

/// Returns the number of entry VMs: the larger of the VM list's count and the
/// number of live members, at least 1.
unsigned fleetSize(const CoreState &State);

} // namespace cumingauge::control

#pragma once

#include "control/creditdecision.h"
#include "control/directoryera.h"
#include "control/freshness.h"
#include "control/peermessage.h"
#include "model/configurationknowledge.h"
#include "model/controlview.h"
#include "model/event.h"
#include "model/time.h"
#include "ports/directory.h"
#include "ports/store.h"
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// The control state of one entry process as a state machine without sockets,
/// clock or threads: each step takes one input and the current time and returns
/// commands for the runtime to execute.
namespace cumingauge::control {

using LinkId = std::uint64_t;
using StoreCallId = std::uint64_t;

/// Identity of this process and its limits and periods as a member of the
/// fleet.
struct CoreSettings {
  model::Member Self_; ///< incarnation: wall clock in ms at process start
  std::vector<model::Member> SeedPeers_; ///< host and port only; zone if known
  model::milliseconds HeartbeatPeriod_{500};
  /// Silence on a link before its peer is suspected.
  model::milliseconds SuspectAfter_{2000};
  /// Time for a suspected member to refute the suspicion.
  model::milliseconds DeadAfter_{5000};
  model::milliseconds StorePollPeriod_{5000};
  model::milliseconds VmListPeriod_{2000};
  unsigned WatchersPerZone_ = 2;
  unsigned LinksInZone_ = 2;
  unsigned LinksToOtherZones_ = 2;
  unsigned LinksToOtherRegions_ = 1;
  unsigned KeptEntries_ = 256; ///< change log entries kept in memory for peers
  unsigned SnapshotEvery_ = 200; ///< versions between two snapshots
  /// Entries before the latest snapshot that are kept in the store.
  unsigned EntryMargin_ = 1000;
  /// Minimum time between writing a snapshot and deleting the entries that it
  /// replaces. For half of it a process relies on having seen the end of the
  /// log.
  model::milliseconds EntryRetention_{600000};

  /// Whether the configuration is read from a directory instead of the change
  /// log.
  bool FollowsDirectory_ = false;
  /// Whether the whole fleet starts for the first time. The member list of the
  /// directory is then still empty.
  bool IsFirstStart_ = false;
  /// Time within which a backend server that is marked as leaving stops getting
  /// new work.
  model::milliseconds LeavingBound_{2000};
  /// Time between two reads of the member list. A process that joins reads the
  /// list at once; the others use an outdated member count until their next
  /// read, which is wrong by no more than the fleet's growth meanwhile.
  model::milliseconds MembersPeriod_{120000};
};

// Inputs.
struct Started {};
struct Ticked {}; ///< to be fed at least every 100 ms
struct StoreResponseReceived {
  StoreCallId Call_ = 0;
  ports::StoreResponse Response_;
};
struct DirectoryResponseReceived {
  StoreCallId Call_ = 0;
  ports::DirectoryResponse Response_;
};
struct LinkOpened {
  LinkId Link_ = 0;
  model::Member Peer_;
  bool Operator_ = false; ///< the peer is an operator's client, not a member
  bool Outbound_ = false; ///< opened by an OpenLink command of this process
};
struct LinkClosed {
  LinkId Link_ = 0;
};
struct LinkFailed { ///< a link requested by OpenLink could not be opened
  std::string Host_;
  std::uint16_t Port_ = 0;
};
struct PeerMessageReceived {
  LinkId Link_ = 0;
  PeerMessage Message_;
};
/// A backend server reported its load in its response to a call or probe.
struct ServerReportReceived {
  ServerObservation Observation_;
};
/// A call of a workspace with a quota is to be started. Answered by exactly one
/// DecideCredit with the same number.
struct CreditWanted {
  std::uint64_t Request_ = 0; ///< chosen by the runtime, unique in the process
  std::string Workspace_;
  /// When the call stops to wait.
  model::TimePoint Until_ = model::TimePoint::max();
};
struct Stopping {}; ///< the process shuts down and announces it to the fleet

using CoreInput = std::variant<Started, Ticked, StoreResponseReceived,
                               DirectoryResponseReceived, LinkOpened,
                               LinkClosed, LinkFailed, PeerMessageReceived,
                               ServerReportReceived, CreditWanted, Stopping>;

// Commands.
struct CallStore {
  StoreCallId Call_ = 0;
  ports::StoreRequest Request_;
};
struct CallDirectory {
  StoreCallId Call_ = 0;
  ports::DirectoryRequest Request_;
};
struct OpenLink {
  std::string Host_;
  std::uint16_t Port_ = 0;
};
struct CloseLink {
  LinkId Link_ = 0;
  model::ResultCode Reason_ = model::ResultCode::Ok;
};
struct SendPeer {
  LinkId Link_ = 0;
  /// One message may be sent on many links.
  std::shared_ptr<const PeerMessage> Message_;
};
struct PublishView {
  std::shared_ptr<const model::ControlView> View_;
};
/// Load reports that other processes received, for the traffic threads.
struct PublishObservations {
  std::vector<ServerObservation> Sightings_;
};
struct RecordEvent {
  model::EventKind Kind_ = model::EventKind::ChangeSeen;
  std::string Subject_;
  std::uint64_t Version_ = 0;
  model::ResultCode Reason_ = model::ResultCode::Ok;
  std::string Detail_;
};
/// A request by an operator for data that only the runtime has.
struct AnswerOperator {
  LinkId Link_ = 0;
  PeerMessage Request_; ///< StatusRequest or TimelineRequest
};
/// Answers a CreditWanted input.
struct DecideCredit {
  std::uint64_t Request_ = 0;
  CreditDecision Decision_;
};

using CoreCommand = std::variant<CallStore, CallDirectory, OpenLink, CloseLink,
                                 SendPeer, PublishView, PublishObservations,
                                 RecordEvent, AnswerOperator, DecideCredit>;

struct CoreState;

/// Returns the initial state of a process that has no configuration and has
/// discovered no other member yet.
/// \param Seed for the jitter of its periods.
std::shared_ptr<CoreState> makeCore(const CoreSettings &Settings,
                                    std::uint64_t Seed);

/// Processes one input and returns the resulting commands. \p Now must not be
/// earlier than in the previous call; a jump forward is detected and handled as
/// a pause of the process.
std::vector<CoreCommand> step(CoreState &State, const CoreInput &Input,
                              model::TimePoint Now);

/// Returns the time of the last exchange with a peer or the store that
/// confirmed that this process is up to date; the epoch before the first one.
model::TimePoint lastExchange(const CoreState &State);

/// Returns what this process knows about whether its configuration is the
/// newest one.
model::ConfigurationKnowledge
configurationKnowledge(const CoreState &State, const FreshnessLimits &Limits);

/// Returns who has confirmed last that the configuration is the newest one: see
/// configurationConfirmedBy. Empty without a directory.
std::string configurationSource(const CoreState &State);

/// Returns what this process has seen of the directory's eras.
const DirectoryEra &directoryEra(const CoreState &State);

/// Returns the facts that decide whether new work may be dispatched; see
/// freshness.h.
FreshnessFacts freshnessFacts(const CoreState &State);

/// Returns the control part of a process status: version, members, links and so
/// on.
model::ProcessStatus describeCore(const CoreState &State, model::TimePoint Now);

} // namespace cumingauge::control

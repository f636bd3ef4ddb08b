#pragma once

#include "control/freshness.h"
#include "control/peermessage.h"
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

/// The control state of one entry process as a state machine without socket,
/// clock or thread: an input and the time go in, orders come out.
namespace cumingauge::control {

using LinkId = std::uint64_t;
using StoreCallId = std::uint64_t;

/// Who this process is and how it takes part in the fleet.
struct CoreSettings {
  model::Member Self_; ///< incarnation: wall clock ms at the process's start
  std::vector<model::Member> SeedPeers_; ///< only host, port; zone if known
  model::milliseconds HeartbeatPeriod_{500};
  model::milliseconds SuspectAfter_{2000}; ///< silence on a link
  model::milliseconds DeadAfter_{5000};    ///< suspicion not refuted
  model::milliseconds StorePollPeriod_{5000};
  model::milliseconds VmListPeriod_{2000};
  unsigned WatchersPerZone_ = 2;
  unsigned LinksInZone_ = 2;
  unsigned LinksToOtherZones_ = 2;
  unsigned LinksToOtherRegions_ = 1;
  unsigned KeptEntries_ = 256;   ///< log entries kept for peers
  unsigned SnapshotEvery_ = 200; ///< versions between snapshots
  unsigned EntryMargin_ = 1000; ///< entries left in the store before a snapshot
  /// Least time between a snapshot and the deletion of the entries that it
  /// replaces. Half of it is how long a process relies on having seen the end
  /// of the log.
  model::milliseconds EntryRetention_{600000};

  /// The configuration comes from a directory instead of the change log.
  bool FollowsDirectory_ = false;
  /// Time within which a server that leaves gets no new work.
  model::milliseconds LeavingBound_{2000};
  /// Between two reads of the members. Those that join read the list
  /// themselves; what the others do with a count that is a little old errs by
  /// as much as the fleet grows meanwhile.
  model::milliseconds MembersPeriod_{120000};
};

// Inputs.
struct Started {};
struct Ticked {}; ///< at least every 100 ms
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
  bool Operator_ = false; ///< an operator's client, not a member
  bool Outbound_ = false; ///< answers an OpenLink order of this process
};
struct LinkClosed {
  LinkId Link_ = 0;
};
struct LinkFailed { ///< a link that was ordered could not be opened
  std::string Host_;
  std::uint16_t Port_ = 0;
};
struct PeerMessageReceived {
  LinkId Link_ = 0;
  PeerMessage Message_;
};
/// A backend server said on an answer or to a probe what it does.
struct ServerReportReceived {
  ServerObservation Observation_;
};
struct Stopping {}; ///< say goodbye to the fleet

using CoreInput =
    std::variant<Started, Ticked, StoreResponseReceived,
                 DirectoryResponseReceived, LinkOpened, LinkClosed, LinkFailed,
                 PeerMessageReceived, ServerReportReceived, Stopping>;

// Orders.
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
  std::shared_ptr<const PeerMessage> Message_; ///< shared by many links
};
struct PublishView {
  std::shared_ptr<const model::ControlView> View_;
};
/// Probe results of other processes, for the traffic threads.
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
/// An operator asked for something that only the runtime knows.
struct AnswerOperator {
  LinkId Link_ = 0;
  PeerMessage Request_; ///< StatusRequest or TimelineRequest
};

using CoreCommand =
    std::variant<CallStore, CallDirectory, OpenLink, CloseLink, SendPeer,
                 PublishView, PublishObservations, RecordEvent, AnswerOperator>;

struct CoreState;

/// Makes the state of a process that knows nothing yet.
/// \param Seed for the jitter of its periods.
std::shared_ptr<CoreState> makeCore(const CoreSettings &Settings,
                                    std::uint64_t Seed);

/// Feeds one input. Time must not go back between calls; a jump forward is
/// found and treated as a pause.
std::vector<CoreCommand> step(CoreState &State, const CoreInput &Input,
                              model::TimePoint Now);

/// Time of the last exchange with a peer or the store that confirmed that
/// this process is not behind; the epoch before the first one.
model::TimePoint lastExchange(const CoreState &State);

/// What decides whether new work may be placed; see freshness.h.
FreshnessFacts freshnessFacts(const CoreState &State);

/// Fills in the control part of a status: version, members, links and so on.
model::ProcessStatus describeCore(const CoreState &State, model::TimePoint Now);

} // namespace cumingauge::control

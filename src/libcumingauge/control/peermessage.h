#pragma once

#include "model/change.h"
#include "model/event.h"
#include "model/loadreport.h"
#include "model/member.h"
#include "model/preset.h"
#include "model/processstatus.h"
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Messages on an established link between two entry processes, or between an
/// operator's client and an entry process.
namespace cumingauge::control {

using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;

/// Number of entry VMs in the platform's VM list.
struct EntryVmCount {
  std::uint32_t Count_ = 0;
  std::uint32_t AgeMs_ = 0; ///< time since the list was fetched
};
BOOST_DESCRIBE_STRUCT(EntryVmCount, (), (Count_, AgeMs_))

/// Sent at every heartbeat period: the sender's version and a digest of its
/// member table. Small because heartbeats make up most of the traffic on
/// the links.
struct Heartbeat {
  static constexpr const char *Kind = "heartbeat";
  std::uint64_t Version_ = 0;
  std::uint32_t MembersDigest_ = 0;
  model::HybridTime At_;
  std::uint32_t LogDigest_ = 0; ///< lower 32 bits of the log digest at Version_
  std::uint64_t Sequence_ = 0;  ///< number of this heartbeat on this link
  std::uint64_t Echo_ = 0;      ///< highest sequence received on this link
  bool Fresh_ = false; ///< sender has had an exchange since its last pause
  /// Requests a heartbeat from the receiver without delay.
  std::optional<bool> AnswerNow_;
  std::optional<EntryVmCount> EntryVms_;
};
BOOST_DESCRIBE_STRUCT(Heartbeat, (),
                      (Version_, MembersDigest_, At_, LogDigest_, Sequence_,
                       Echo_, Fresh_, AnswerNow_, EntryVms_))

/// Change log entries in ascending order without gaps.
struct Entries {
  static constexpr const char *Kind = "entries";
  std::vector<model::Change> Changes_;
  model::HybridTime At_;
};
BOOST_DESCRIBE_STRUCT(Entries, (), (Changes_, At_))

/// Requests the entries after a version. The response is Entries, or StateChunk
/// messages where the entries are no longer in memory.
struct EntriesRequest {
  static constexpr const char *Kind = "wantEntries";
  std::uint64_t After_ = 0;
};
BOOST_DESCRIBE_STRUCT(EntriesRequest, (), (After_))

/// One piece of an encoded ConfigState.
struct StateChunk {
  static constexpr const char *Kind = "stateChunk";
  std::uint64_t Version_ = 0;
  std::uint32_t Index_ = 0;
  std::uint32_t Count_ = 1;
  std::string Bytes_;
};
BOOST_DESCRIBE_STRUCT(StateChunk, (), (Version_, Index_, Count_, Bytes_))

/// Records of members that have changed; Full_ when it is the whole table.
struct MemberUpdate {
  static constexpr const char *Kind = "memberNews";
  std::vector<model::Member> Members_;
  bool Full_ = false;
};
BOOST_DESCRIBE_STRUCT(MemberUpdate, (), (Members_, Full_))

/// Load report of one backend server, as received by one process.
struct ServerObservation {
  std::string Server_;
  std::string Vm_;
  model::LoadReport Report_;
};
BOOST_DESCRIBE_STRUCT(ServerObservation, (), (Server_, Vm_, Report_))

/// Load reports of backend servers, which also say when one is leaving, shared
/// between processes.
struct ServerReports {
  static constexpr const char *Kind = "serverNews";
  std::vector<ServerObservation> Sightings_;
};
BOOST_DESCRIBE_STRUCT(ServerReports, (), (Sightings_))

/// One changed entry of the directory's list of servers.
struct ServerListChange {
  std::string Name_;
  /// Absent: the server was removed.
  std::optional<model::BackendServer> Server_;
  bool Leaving_ = false;
  /// Set when the server departed before the directory was restored from a
  /// copy, which lists it as ready: whether it was leaving; else just removed.
  std::optional<bool> WasLeaving_;
  /// Set when the directory does not list the server and the sender keeps it,
  /// as it may register again: when it was found missing, in ms since the
  /// sender received the receiver's subscription.
  std::optional<std::int32_t> MissingMs_;
};
BOOST_DESCRIBE_STRUCT(ServerListChange, (),
                      (Name_, Server_, Leaving_, WasLeaving_, MissingMs_))

/// Subscribes to the directory: requests the configuration after a version, the
/// changes of the server list after a revision, and updates from then on. Sent
/// again on the same link, it tells what the sender has now, and renews Asked_.
struct DirectorySubscription {
  static constexpr const char *Kind = "directoryInterest";
  std::uint64_t Revision_ = 0;
  std::uint64_t Version_ = 0;
  std::optional<std::uint64_t> Era_; ///< of Revision_; absent: unknown
  /// When it was sent, by the sender's clock. Only the sender can interpret it.
  std::uint64_t Asked_ = 0;
  /// Number of the last update received on this link; 0: none.
  std::uint64_t Received_ = 0;
};
BOOST_DESCRIBE_STRUCT(DirectorySubscription, (),
                      (Revision_, Version_, Era_, Asked_, Received_))

/// Response to DirectorySubscription of a process that has just started and has
/// no list itself. The updates follow once it has.
struct DirectoryNotRead {
  static constexpr const char *Kind = "directoryNotRead";
};
BOOST_DESCRIBE_STRUCT(DirectoryNotRead, (), ())

/// Changes in the directory. Also sent without changes, to show up to which
/// revision and how recently the sender has confirmed its data.
///
/// Times count from the moment at which the sender received the subscription
/// that Asked_ names, in ms rounded down. The receiver counts them from the
/// moment at which it sent that subscription. So the time that an update is on
/// its way changes nothing, and no clock is compared with another; the time
/// that the subscription was on its way makes the data look older.
struct DirectoryUpdate {
  static constexpr const char *Kind = "directoryNews";
  std::uint64_t Number_ = 0; ///< counts the updates on this link, from 1
  /// Asked_ of the last subscription received on this link. Without it the
  /// update confirms nothing.
  std::optional<std::uint64_t> Asked_;
  std::uint64_t After_ = 0; ///< Servers_ holds the changes after this revision
  std::uint64_t Revision_ = 0;   ///< up to this revision
  std::int32_t ConfirmedMs_ = 0; ///< when the sender confirmed Revision_
  std::vector<ServerListChange> Servers_;
  std::uint64_t Version_ = 0; ///< of the configuration
  /// When Version_ was confirmed as the newest.
  std::int32_t VersionConfirmedMs_ = 0;
  /// Set when Version_ is new to the peer.
  std::optional<model::Preset> Preset_;
  /// True when Servers_ is the whole list; After_ then has no meaning. False
  /// when the whole list follows, without which removals may be missing.
  std::optional<bool> Complete_;
  /// Era of the directory in which After_ and Revision_ count; absent: unknown.
  std::optional<std::uint64_t> Era_;
  /// Zones that operators have evacuated, as of ZonesRevision_.
  std::set<std::string> EvacuatedZones_;
  std::uint64_t ZonesRevision_ = 0;
  /// Requests a DirectorySubscription without delay, as an acknowledgement.
  std::optional<bool> AnswerNow_;
};
BOOST_DESCRIBE_STRUCT(DirectoryUpdate, (),
                      (Number_, Asked_, After_, Revision_, ConfirmedMs_,
                       Servers_, Version_, VersionConfirmedMs_, Preset_,
                       Complete_, Era_, EvacuatedZones_, ZonesRevision_,
                       AnswerNow_))

/// Requests credit for calls from the issuer of a part of their quotas.
struct CreditRequest {
  static constexpr const char *Kind = "creditRequest";
  std::uint64_t Number_ = 0; ///< unique in the sending process
  std::uint32_t Part_ = 0;
  std::vector<std::string> Workspaces_; ///< of each call
};
BOOST_DESCRIBE_STRUCT(CreditRequest, (), (Number_, Part_, Workspaces_))

/// Answer to the request for one call. Neither granted nor with a time: the
/// issuer knows no quota of the workspace.
struct CreditGrant {
  bool Granted_ = false;
  std::optional<std::uint32_t> RetryAfterMs_; ///< set when refused
};
BOOST_DESCRIBE_STRUCT(CreditGrant, (), (Granted_, RetryAfterMs_))

/// Response to CreditRequest.
struct CreditReply {
  static constexpr const char *Kind = "creditReply";
  std::uint64_t Number_ = 0;
  /// For each call in the order of the request; empty: the sender does not
  /// issue the credit of this part.
  std::vector<CreditGrant> Answers_;
};
BOOST_DESCRIBE_STRUCT(CreditReply, (), (Number_, Answers_))

/// Sent by an operator: requests the status of this process.
struct StatusRequest {
  static constexpr const char *Kind = "statusRequest";
  bool WithMembers_ = true;
};
BOOST_DESCRIBE_STRUCT(StatusRequest, (), (WithMembers_))

/// Response to StatusRequest.
struct StatusReply {
  static constexpr const char *Kind = "statusReply";
  model::ProcessStatus Status_;
};
BOOST_DESCRIBE_STRUCT(StatusReply, (), (Status_))

/// Sent by an operator: requests the events recorded by this process since a
/// wall clock time in ms.
struct TimelineRequest {
  static constexpr const char *Kind = "timelineRequest";
  std::uint64_t SinceMs_ = 0;
};
BOOST_DESCRIBE_STRUCT(TimelineRequest, (), (SinceMs_))

/// Response to TimelineRequest.
struct TimelineReply {
  static constexpr const char *Kind = "timelineReply";
  std::vector<model::Event> Events_;
  /// Older events that the event ring no longer holds.
  std::uint64_t Dropped_ = 0;
};
BOOST_DESCRIBE_STRUCT(TimelineReply, (), (Events_, Dropped_))

using PeerMessage =
    std::variant<Heartbeat, Entries, EntriesRequest, StateChunk, MemberUpdate,
                 ServerReports, StatusRequest, StatusReply, TimelineRequest,
                 TimelineReply, DirectorySubscription, DirectoryNotRead,
                 DirectoryUpdate, CreditRequest, CreditReply>;

} // namespace cumingauge::control

#pragma once

#include "control/core.h"
#include "model/time.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

using boost::describe::operators::operator<;

/// Where a peer accepts links.
struct PeerAddress {
  std::string Host_;
  std::uint16_t Port_ = 0;
};
BOOST_DESCRIBE_STRUCT(PeerAddress, (), (Host_, Port_))

/// A heartbeat that was sent and may be echoed.
struct SentHeartbeat {
  std::uint64_t Sequence_ = 0;
  model::TimePoint At_;
};

/// Pieces of a state that is being received.
struct StateAssembly {
  std::uint64_t Version_ = 0;
  std::vector<std::string> Chunks_;
  std::uint32_t Missing_ = 0;
};

/// One open link.
struct Link {
  LinkId Id_ = 0;
  model::Member Peer_;
  bool Operator_ = false;
  bool Outbound_ = false; ///< opened by this process
  model::TimePoint Opened_;
  model::TimePoint LastHeard_;
  std::uint64_t PeerVersion_ = 0; ///< highest version the peer showed
  std::uint64_t SentVersion_ = 0; ///< highest version sent to it
  std::uint64_t SentSequence_ = 0;
  std::uint64_t ReceivedSequence_ = 0;
  std::deque<SentHeartbeat> SentHeartbeats_;
  /// When the latest heartbeat echoed by the peer was sent.
  std::optional<model::TimePoint> EchoedAt_;
  std::optional<model::TimePoint> EntryVmsSentAt_;
  std::optional<model::TimePoint> TableSentAt_;
  std::optional<model::TimePoint> DigestDiffersSince_;
  std::optional<model::TimePoint> StateSentAt_;
  std::optional<model::TimePoint> UnwantedSince_;
  /// What the peer knows of the directory's servers, if it wants news.
  std::optional<std::uint64_t> KnownRevision_;
  std::uint64_t KnownVersion_ = 0; ///< the same of its configuration
  model::TimePoint NextUpdate_;
  StateAssembly Assembly_;
};

/// How far a peer's claims to a version can be relied on.
struct PeerClaims {
  unsigned Unanswered_ = 0; ///< requests in a row that it did not answer
  std::optional<model::TimePoint> ReportedAt_;
  model::TimePoint RetryAt_;
};

/// A request for entries that is under way.
struct PendingRequest {
  LinkId Link_ = 0;
  std::string Process_;
  model::TimePoint At_;
  std::uint64_t After_ = 0;
};

struct LinkTable {
  std::map<LinkId, Link> Links_;
  std::map<PeerAddress, model::TimePoint> Opening_; ///< since when
  std::map<PeerAddress, model::TimePoint> AvoidUntil_;
  std::map<std::string, PeerClaims> Claims_; ///< by process
  std::optional<PendingRequest> Request_;
  model::TimePoint NextHeartbeat_;
  model::TimePoint NextChoice_;
  model::TimePoint NextSeed_;
};

/// One link for each peer process, operators left out.
std::vector<Link *> peerLinks(LinkTable &Table);
std::vector<const Link *> peerLinks(const LinkTable &Table);

/// The link or null.
Link *findLink(LinkTable &Table, LinkId Id);

/// An open link to this process, or null.
const Link *findLinkTo(const LinkTable &Table, const std::string &Process);

} // namespace cumingauge::control

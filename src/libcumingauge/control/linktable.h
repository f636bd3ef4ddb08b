#pragma once

#include "control/core.h"
#include "control/subscriber.h"
#include "model/time.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

using boost::describe::operators::operator<;

/// Address at which a peer accepts links.
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

/// Chunks received so far of an encoded state.
struct StateAssembly {
  std::uint64_t Version_ = 0;
  std::vector<std::string> Chunks_;
  std::uint32_t Missing_ = 0;
};

/// One open link to a peer or an operator's client.
struct Link {
  LinkId Id_ = 0;
  model::Member Peer_;
  bool Operator_ = false;
  bool Outbound_ = false; ///< opened by this process
  /// Used to request credit; no subscription to the directory.
  bool IsForCredit_ = false;
  model::TimePoint OpenedAt_;
  model::TimePoint LastReceivedAt_;
  /// Highest version that the peer has reported.
  std::uint64_t PeerVersion_ = 0;
  std::uint64_t SentVersion_ = 0; ///< highest version sent to the peer
  std::uint64_t SentSequence_ = 0;
  std::uint64_t ReceivedSequence_ = 0;
  std::deque<SentHeartbeat> SentHeartbeats_;
  /// Send time of the latest heartbeat that the peer has echoed.
  std::optional<model::TimePoint> EchoedAt_;
  std::optional<model::TimePoint> EntryVmsSentAt_;
  std::optional<model::TimePoint> TableSentAt_;
  std::optional<model::TimePoint> DigestDiffersSince_;
  std::optional<model::TimePoint> StateSentAt_;
  std::optional<model::TimePoint> UnwantedSince_;
  /// Set when the peer has subscribed to directory updates.
  std::optional<Subscriber> Subscriber_;
  /// When this process subscribed to the peer's directory updates.
  std::optional<model::TimePoint> SubscribedAt_;
  /// When it last sent the subscription, which is also a question for the age
  /// of what the peer knows.
  std::optional<model::TimePoint> AskedAt_;
  std::uint64_t ReceivedUpdate_ = 0; ///< number of the last update; 0: none
  bool HasNotRead_ = false; ///< the peer has said that it has no list yet
  StateAssembly Assembly_;
};

/// Record of a peer that reports a version higher than the own one, and whether
/// it answered requests for the entries.
struct PeerClaims {
  unsigned Unanswered_ = 0; ///< consecutive requests without a response
  std::optional<model::TimePoint> ReportedAt_;
  model::TimePoint RetryAt_;
};

/// A request for entries that is in flight.
struct PendingRequest {
  LinkId Link_ = 0;
  std::string Process_;
  model::TimePoint At_;
  std::uint64_t After_ = 0;
};

/// All links, attempts to open links and requests over links.
struct LinkTable {
  std::map<LinkId, Link> Links_;
  /// Start time of the attempt.
  std::map<PeerAddress, model::TimePoint> Opening_;
  std::map<PeerAddress, model::TimePoint> AvoidUntil_;
  std::map<std::string, PeerClaims> Claims_; ///< by process name
  std::optional<PendingRequest> Request_;
  model::TimePoint NextHeartbeat_;
  model::TimePoint NextChoice_;
  model::TimePoint NextSeed_;
};

/// Returns one link for each peer process, operators left out.
std::vector<Link *> peerLinks(LinkTable &Table);
std::vector<const Link *> peerLinks(const LinkTable &Table);

/// Returns the link with this id, or null.
Link *findLink(LinkTable &Table, LinkId Id);

/// Returns an open link to the process of this name, or null.
const Link *findLinkTo(const LinkTable &Table, const std::string &Process);

/// Returns an open link to the process of this name that is not for credit
/// only, or null.
const Link *findReaderLinkTo(const LinkTable &Table,
                             const std::string &Process);

} // namespace cumingauge::control

#include "control/heartbeats.h"
#include "control/corestate.h"
#include "control/gossip.h"
#include "control/membership.h"
#include "control/vmlist.h"

namespace cumingauge::control {

namespace {

constexpr std::size_t MaxPendingHeartbeats = 32;
constexpr model::seconds EntryVmsPeriod{5};
constexpr model::milliseconds PausedPeerTimeout{1000};

Heartbeat makeHeartbeat(const CoreState &State) {
  Heartbeat Out;
  Out.Version_ = versionOf(State);
  Out.LogDigest_ = shortDigest(State.Log_.State_->LogDigest_);
  Out.Fresh_ = State.LastExchange_.has_value();
  Out.MembersDigest_ = shortDigest(membersDigest(State.Members_));
  return Out;
}

/// Returns whether a peer's version counts as evidence. A peer that was paused
/// itself may be as far behind; after PausedPeerTimeout both processes would
/// have received newer versions from others.
bool isCredible(const CoreState &State, const Heartbeat &Message) {
  return Message.Fresh_ || !State.PauseEndedAt_ ||
         State.Now_ - *State.PauseEndedAt_ >= PausedPeerTimeout;
}

void recordEcho(CoreState &State, Link &From, const Heartbeat &Message) {
  const bool Counts = isCredible(State, Message);
  auto &Sent = From.SentHeartbeats_;
  while (!Sent.empty() && Sent.front().Sequence_ <= Message.Echo_) {
    if (Counts && Sent.front().Sequence_ == Message.Echo_)
      From.EchoedAt_ = Sent.front().At_;
    Sent.pop_front();
  }
}

/// Adds the count of entry VMs once per EntryVmsPeriod on each link.
void addEntryVms(CoreState &State, Link &To, Heartbeat &Message) {
  if (listedEntryVms(State) == 0 ||
      !isDue(To.EntryVmsSentAt_, EntryVmsPeriod, State.Now_))
    return;
  To.EntryVmsSentAt_ = State.Now_;
  Message.EntryVms_ =
      EntryVmCount{listedEntryVms(State),
                   static_cast<std::uint32_t>(
                       std::chrono::duration_cast<model::milliseconds>(
                           State.Now_ - *State.Vms_.EntryVmsAt_)
                           .count())};
}

void sendNumbered(CoreState &State, Link &To, Heartbeat Message,
                  bool AnswerNow) {
  Message.Sequence_ = ++To.SentSequence_;
  Message.Echo_ = To.ReceivedSequence_;
  if (AnswerNow)
    Message.AnswerNow_ = true;
  addEntryVms(State, To, Message);
  To.SentHeartbeats_.push_back({Message.Sequence_, State.Now_});
  if (To.SentHeartbeats_.size() > MaxPendingHeartbeats)
    To.SentHeartbeats_.pop_front();
  send(State, To, Message);
}

void sendToAllPeers(CoreState &State, bool AnswerNow) {
  const Heartbeat Message = makeHeartbeat(State);
  for (auto &[Id, To] : State.Links_.Links_)
    if (!To.Operator_)
      sendNumbered(State, To, Message, AnswerNow);
  State.Links_.NextHeartbeat_ =
      State.Now_ + jittered(State, State.Settings_.HeartbeatPeriod_);
}

} // namespace

void sendHeartbeat(CoreState &State, Link &To, bool AnswerNow) {
  sendNumbered(State, To, makeHeartbeat(State), AnswerNow);
}

void sendDueHeartbeats(CoreState &State) {
  if (State.Now_ >= State.Links_.NextHeartbeat_)
    sendToAllPeers(State, /*AnswerNow=*/false);
}

void sendHeartbeatsNow(CoreState &State) {
  sendToAllPeers(State, /*AnswerNow=*/true);
}

void handleHeartbeat(CoreState &State, Link &From, const Heartbeat &Message) {
  if (Message.Sequence_ <= From.ReceivedSequence_)
    return; // repeated, or received after a later one
  From.ReceivedSequence_ = Message.Sequence_;
  recordEcho(State, From, Message);
  recordEntryVms(State, Message);
  compareMembers(State, From, Message.MembersDigest_);
  compareVersions(State, From, Message);
  updateLastExchange(State);
  if (Message.AnswerNow_.value_or(false))
    sendHeartbeat(State, From, /*AnswerNow=*/false);
}

void discardSentHeartbeats(CoreState &State) {
  for (auto &[Id, Value] : State.Links_.Links_) {
    Value.SentHeartbeats_.clear();
    Value.EchoedAt_.reset();
  }
}

} // namespace cumingauge::control

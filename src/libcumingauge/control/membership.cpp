#include "control/membership.h"
#include "control/corestate.h"

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::Member;
using model::MemberStatus;

constexpr model::seconds EndedMemberRetention{3600};
constexpr model::seconds TableInterval{5};
constexpr model::seconds DigestMismatchDelay{2};

std::optional<EventKind> eventOf(MemberEffect Effect, bool WasKnown) {
  switch (Effect) {
  case MemberEffect::Joined:
    return WasKnown ? EventKind::MemberReturned : EventKind::MemberJoined;
  case MemberEffect::Suspected:
    return EventKind::MemberSuspected;
  case MemberEffect::Dead:
  case MemberEffect::Left:
    return EventKind::MemberDead;
  case MemberEffect::None:
  case MemberEffect::Updated:
  case MemberEffect::Refuted:
    break;
  }
  return std::nullopt;
}

/// Returns the members whose record here is newer than in a peer's full table,
/// and the live ones that the table lacks.
std::vector<Member> newerThan(const CoreState &State,
                              const MemberUpdate &Message) {
  std::map<std::string, const Member *> Theirs;
  for (const Member &Value : Message.Members_)
    Theirs[Value.Process_] = &Value;
  std::vector<Member> Out;
  for (const auto &[Name, Record] : State.Members_.Records_) {
    const Member &Own = Record.Member_;
    const auto Their = Theirs.find(Name);
    const bool IsNewer =
        Their == Theirs.end()
            ? isLive(Own)
            : Own.Incarnation_ > Their->second->Incarnation_ ||
                  (Own.Incarnation_ == Their->second->Incarnation_ &&
                   Own.Status_ > Their->second->Status_);
    if (IsNewer)
      Out.push_back(Own);
  }
  return Out;
}

} // namespace

void applyMember(CoreState &State, const Member &Update) {
  const bool WasKnown = findMember(State.Members_, Update.Process_) != nullptr;
  const MemberEffect Effect = mergeMember(State.Members_, Update, State.Now_);
  if (Effect == MemberEffect::None)
    return;
  State.ChangedMembers_.insert(Update.Process_);
  State.ViewChanged_ = true;
  if (Effect == MemberEffect::Dead || Effect == MemberEffect::Left)
    State.Links_.Claims_.erase(Update.Process_);
  if (const auto Kind = eventOf(Effect, WasKnown))
    record(State, *Kind, Update.Process_, 0, model::ResultCode::Ok,
           std::to_string(Update.Incarnation_));
}

void sendMemberTable(CoreState &State, Link &To) {
  To.TableSentAt_ = State.Now_;
  To.DigestDiffersSince_.reset();
  MemberUpdate Message;
  Message.Full_ = true;
  for (const auto &[Name, Record] : State.Members_.Records_)
    Message.Members_.push_back(Record.Member_);
  send(State, To, std::move(Message));
}

void handleMemberUpdate(CoreState &State, Link &From,
                        const MemberUpdate &Message) {
  for (const Member &Update : Message.Members_)
    applyMember(State, Update);
  if (!Message.Full_)
    return;
  MemberUpdate Reply;
  Reply.Members_ = newerThan(State, Message);
  if (!Reply.Members_.empty())
    send(State, From, std::move(Reply));
}

void suspect(CoreState &State, const std::string &Process) {
  const MemberRecord *Record = findMember(State.Members_, Process);
  if (!Record || Record->Member_.Status_ != MemberStatus::Alive)
    return;
  Member Update = Record->Member_;
  Update.Status_ = MemberStatus::Suspected;
  applyMember(State, Update);
}

void detectFailures(CoreState &State) {
  for (const Link *Peer : peerLinks(State.Links_))
    if (State.Now_ - Peer->LastReceivedAt_ >= State.Settings_.SuspectAfter_)
      suspect(State, Peer->Peer_.Process_);
  for (Member Expired : expiredSuspects(
           State.Members_, State.Settings_.DeadAfter_, State.Now_)) {
    Expired.Status_ = MemberStatus::Dead;
    applyMember(State, Expired);
  }
  if (!State.Links_.Links_.empty())
    removeEnded(State.Members_, EndedMemberRetention, State.Now_);
  sendMemberUpdates(State);
}

void compareMembers(CoreState &State, Link &From, std::uint32_t Digest) {
  if (Digest == shortDigest(membersDigest(State.Members_))) {
    From.DigestDiffersSince_.reset();
    return;
  }
  if (!From.DigestDiffersSince_)
    From.DigestDiffersSince_ = State.Now_;
  const bool IsFirst = !From.TableSentAt_;
  if (IsFirst ||
      (State.Now_ - *From.DigestDiffersSince_ >= DigestMismatchDelay &&
       isDue(From.TableSentAt_, TableInterval, State.Now_)))
    sendMemberTable(State, From);
}

void sendMemberUpdates(CoreState &State) {
  if (State.ChangedMembers_.empty())
    return;
  MemberUpdate Message;
  for (const std::string &Name : State.ChangedMembers_)
    if (const MemberRecord *Record = findMember(State.Members_, Name))
      Message.Members_.push_back(Record->Member_);
  State.ChangedMembers_.clear();
  const auto Shared = std::make_shared<const PeerMessage>(std::move(Message));
  for (const Link *To : peerLinks(State.Links_))
    emitCommand(State, SendPeer{To->Id_, Shared});
}

void announceLeave(CoreState &State) {
  State.IsStopping_ = true;
  Member &Self = State.Members_.Records_[State.Members_.Self_].Member_;
  Self.Status_ = MemberStatus::Left;
  State.ChangedMembers_.insert(Self.Process_);
  sendMemberUpdates(State);
}

} // namespace cumingauge::control

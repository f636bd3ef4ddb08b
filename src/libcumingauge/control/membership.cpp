#include "control/membership.h"
#include "control/corestate.h"

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::Member;
using model::MemberStatus;

constexpr model::seconds ForgetAfter{3600};
constexpr model::seconds TableInterval{5};
constexpr model::seconds DigestPatience{2};

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

/// Members of which the sender of a full table knows less than this process.
std::vector<Member> newerThan(const CoreState &State,
                              const MemberNews &Message) {
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

void takeMember(CoreState &State, const Member &News) {
  const bool WasKnown = findMember(State.Members_, News.Process_) != nullptr;
  const MemberEffect Effect = mergeMember(State.Members_, News, State.Now_);
  if (Effect == MemberEffect::None)
    return;
  State.MemberNews_.insert(News.Process_);
  State.ViewChanged_ = true;
  if (Effect == MemberEffect::Dead || Effect == MemberEffect::Left)
    State.Links_.Claims_.erase(News.Process_);
  if (const auto Kind = eventOf(Effect, WasKnown))
    record(State, *Kind, News.Process_, 0, model::ResultCode::Ok,
           std::to_string(News.Incarnation_));
}

void sendTable(CoreState &State, Link &To) {
  To.TableSentAt_ = State.Now_;
  To.DigestDiffersSince_.reset();
  MemberNews Message;
  Message.Full_ = true;
  for (const auto &[Name, Record] : State.Members_.Records_)
    Message.Members_.push_back(Record.Member_);
  send(State, To, std::move(Message));
}

void takeMemberNews(CoreState &State, Link &From, const MemberNews &Message) {
  for (const Member &News : Message.Members_)
    takeMember(State, News);
  if (!Message.Full_)
    return;
  MemberNews Reply;
  Reply.Members_ = newerThan(State, Message);
  if (!Reply.Members_.empty())
    send(State, From, std::move(Reply));
}

void suspect(CoreState &State, const std::string &Process) {
  const MemberRecord *Record = findMember(State.Members_, Process);
  if (!Record || Record->Member_.Status_ != MemberStatus::Alive)
    return;
  Member News = Record->Member_;
  News.Status_ = MemberStatus::Suspected;
  takeMember(State, News);
}

void superviseMembers(CoreState &State) {
  for (const Link *Peer : peerLinks(State.Links_))
    if (State.Now_ - Peer->LastHeard_ >= State.Settings_.SuspectAfter_)
      suspect(State, Peer->Peer_.Process_);
  for (Member Expired : expiredSuspects(
           State.Members_, State.Settings_.DeadAfter_, State.Now_)) {
    Expired.Status_ = MemberStatus::Dead;
    takeMember(State, Expired);
  }
  if (!State.Links_.Links_.empty())
    forgetEnded(State.Members_, ForgetAfter, State.Now_);
  sendMemberNews(State);
}

void compareMembers(CoreState &State, Link &From, std::uint32_t Digest) {
  if (Digest == shortDigest(membersDigest(State.Members_))) {
    From.DigestDiffersSince_.reset();
    return;
  }
  if (!From.DigestDiffersSince_)
    From.DigestDiffersSince_ = State.Now_;
  const bool IsFirst = !From.TableSentAt_;
  if (IsFirst || (State.Now_ - *From.DigestDiffersSince_ >= DigestPatience &&
                  isDue(From.TableSentAt_, TableInterval, State.Now_)))
    sendTable(State, From);
}

void sendMemberNews(CoreState &State) {
  if (State.MemberNews_.empty())
    return;
  MemberNews Message;
  for (const std::string &Name : State.MemberNews_)
    if (const MemberRecord *Record = findMember(State.Members_, Name))
      Message.Members_.push_back(Record->Member_);
  State.MemberNews_.clear();
  const auto Shared = std::make_shared<const PeerMessage>(std::move(Message));
  for (const Link *To : peerLinks(State.Links_))
    give(State, SendPeer{To->Id_, Shared});
}

void sayGoodbye(CoreState &State) {
  State.IsStopping_ = true;
  Member &Self = State.Members_.Records_[State.Members_.Self_].Member_;
  Self.Status_ = MemberStatus::Left;
  State.MemberNews_.insert(Self.Process_);
  sendMemberNews(State);
}

} // namespace cumingauge::control

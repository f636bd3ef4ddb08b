#include "control/gossip.h"
#include "control/corestate.h"
#include "control/storecodec.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::ResultCode;

constexpr std::size_t MaxEntriesPerMessage = 64;
constexpr std::uint32_t MaxStateChunks = 4096;
constexpr model::milliseconds AnswerTimeout{1000};
constexpr model::milliseconds StateSendInterval{1000};
constexpr unsigned UnansweredBeforeAlarm = 2;
constexpr model::seconds MinClaimBackoff{2};
constexpr model::seconds MaxClaimBackoff{60};
constexpr model::seconds AlarmInterval{60};

void recordNewState(CoreState &State) {
  State.HasState_ = true;
  if (!State.FirstStateAt_)
    State.FirstStateAt_ = State.Now_;
  State.ViewChanged_ = true;
  updateLastExchange(State);
}

/// Sends the entries after a version to all peers that are not known to have
/// them.
void pushEntries(CoreState &State, std::uint64_t After,
                 std::optional<LinkId> From) {
  auto Message = std::make_shared<PeerMessage>(
      Entries{entriesAfter(State.Log_, After, MaxEntriesPerMessage), {}});
  const auto &Changes = std::get<Entries>(*Message).Changes_;
  if (Changes.empty())
    return;
  const std::uint64_t Last = Changes.back().Version_;
  for (Link *To : peerLinks(State.Links_)) {
    if (To->Id_ == From || std::max(To->PeerVersion_, To->SentVersion_) >= Last)
      continue;
    To->SentVersion_ = Last;
    emitCommand(State, SendPeer{To->Id_, Message});
  }
}

/// Returns the link to request entries from: the one with the highest reported
/// version among peers that respond.
Link *chooseSource(CoreState &State) {
  Link *Best = nullptr;
  for (Link *Candidate : peerLinks(State.Links_)) {
    if (Candidate->PeerVersion_ <= versionOf(State))
      continue;
    if (State.Links_.Claims_[Candidate->Peer_.Process_].RetryAt_ > State.Now_)
      continue;
    if (!Best || Candidate->PeerVersion_ > Best->PeerVersion_)
      Best = Candidate;
  }
  return Best;
}

void recordUnanswered(CoreState &State, const PendingRequest &Request) {
  PeerClaims &Claims = State.Links_.Claims_[Request.Process_];
  ++Claims.Unanswered_;
  const unsigned Doublings = std::min(Claims.Unanswered_ - 1, 5U);
  Claims.RetryAt_ = State.Now_ + std::min(MinClaimBackoff * (1 << Doublings),
                                          MaxClaimBackoff);
  pollStoreNow(State);
  if (Claims.Unanswered_ < UnansweredBeforeAlarm ||
      !isDue(Claims.ReportedAt_, AlarmInterval, State.Now_))
    return;
  Claims.ReportedAt_ = State.Now_;
  record(State, EventKind::Alarm, Request.Process_, Request.After_ + 1,
         ResultCode::PeerVersionClaim,
         "reports this version but sends no entries");
}

void requestEntries(CoreState &State) {
  Link *Source = chooseSource(State);
  if (!Source)
    return;
  const std::uint64_t After = versionOf(State);
  State.Links_.Request_ =
      PendingRequest{Source->Id_, Source->Peer_.Process_, State.Now_, After};
  send(State, *Source, EntriesRequest{After});
}

void sendState(CoreState &State, Link &To) {
  if (!isDue(To.StateSentAt_, StateSendInterval, State.Now_))
    return;
  To.StateSentAt_ = State.Now_;
  const auto Chunks =
      splitBytes(encodeState(*State.Log_.State_), MaxPeerChunkBytes);
  const auto Count = static_cast<std::uint32_t>(Chunks.size());
  for (std::uint32_t I = 0; I < Count; ++I)
    send(State, To, StateChunk{versionOf(State), I, Count, Chunks[I]});
}

/// Adds a chunk of a state.
/// \returns true when the state is complete.
bool addChunk(StateAssembly &Assembly, const StateChunk &Message) {
  if (Assembly.Version_ != Message.Version_ ||
      Assembly.Chunks_.size() != Message.Count_)
    Assembly = {Message.Version_, std::vector<std::string>(Message.Count_),
                Message.Count_};
  std::string &Chunk = Assembly.Chunks_[Message.Index_];
  if (Chunk.empty() && !Message.Bytes_.empty()) {
    Chunk = Message.Bytes_;
    --Assembly.Missing_;
  }
  return Assembly.Missing_ == 0;
}

} // namespace

AppendResult applyEntries(CoreState &State,
                          const std::vector<model::Change> &Entries,
                          std::optional<LinkId> From) {
  const std::uint64_t Before = versionOf(State);
  const AppendResult Result = appendEntries(State.Log_, Entries);
  const Link *Source = From ? findLink(State.Links_, *From) : nullptr;
  const std::string Name = Source ? Source->Peer_.Process_ : "store";
  if (versionOf(State) > Before) {
    State.Links_.Request_.reset();
    for (const model::Change &Entry :
         entriesAfter(State.Log_, Before, Entries.size())) {
      record(State, EventKind::ChangeSeen, Entry.Id_, Entry.Version_,
             ResultCode::Ok, Name);
      record(State, EventKind::ChangeApplied, Entry.Id_, Entry.Version_,
             ResultCode::Ok, Entry.Author_);
    }
    recordNewState(State);
    pushEntries(State, Before, From);
  }
  if (Result == AppendResult::Diverged)
    reportDisagreement(State, Name, Before + 1);
  if (Result == AppendResult::Gap)
    pollStoreNow(State);
  return Result;
}

bool applyState(CoreState &State, model::ConfigState Loaded,
                const std::vector<model::Change> &Entries,
                const std::string &Source) {
  if (!installState(State.Log_, std::move(Loaded), Entries))
    return false;
  State.Links_.Request_.reset();
  record(State, EventKind::ChangeApplied, "snapshot", versionOf(State),
         ResultCode::Ok, Source);
  recordNewState(State);
  return true;
}

void handleEntriesRequest(CoreState &State, Link &From,
                          const EntriesRequest &Message) {
  if (Message.After_ >= versionOf(State))
    return;
  auto Found = entriesAfter(State.Log_, Message.After_, MaxEntriesPerMessage);
  if (Found.empty()) {
    sendState(State, From);
    return;
  }
  From.SentVersion_ = std::max(From.SentVersion_, Found.back().Version_);
  send(State, From, Entries{std::move(Found), {}});
}

void handleStateChunk(CoreState &State, Link &From, const StateChunk &Message) {
  if (Message.Count_ == 0 || Message.Count_ > MaxStateChunks ||
      Message.Index_ >= Message.Count_ ||
      Message.Version_ <= versionOf(State) || From.Operator_)
    return;
  if (State.Links_.Request_ && State.Links_.Request_->Link_ == From.Id_)
    State.Links_.Request_->At_ = State.Now_; // the peer is answering
  if (!addChunk(From.Assembly_, Message))
    return;
  std::string Bytes;
  for (const std::string &Chunk : From.Assembly_.Chunks_)
    Bytes += Chunk;
  From.Assembly_ = {};
  auto Loaded = decodeState(Bytes);
  if (!Loaded || Loaded->Version_ != Message.Version_) {
    reportDisagreement(State, From.Peer_.Process_, Message.Version_);
    return;
  }
  applyState(State, std::move(*Loaded), {}, From.Peer_.Process_);
}

void compareVersions(CoreState &State, Link &From, const Heartbeat &Message) {
  From.PeerVersion_ = Message.Version_;
  const model::ConfigState &Own = *State.Log_.State_;
  if (Message.Version_ == Own.Version_ &&
      Message.LogDigest_ != shortDigest(Own.LogDigest_))
    reportDisagreement(State, From.Peer_.Process_, Own.Version_);
  if (Message.Version_ > Own.Version_ && !State.Links_.Request_)
    requestEntries(State);
}

void requestMissingEntries(CoreState &State) {
  const auto &Request = State.Links_.Request_;
  if (Request && State.Now_ - Request->At_ >= AnswerTimeout) {
    recordUnanswered(State, *Request);
    State.Links_.Request_.reset();
  }
  if (!State.Links_.Request_)
    requestEntries(State);
}

void updateLastExchange(CoreState &State) {
  for (const Link *Peer : peerLinks(State.Links_)) {
    if (!Peer->EchoedAt_ || Peer->PeerVersion_ > versionOf(State))
      continue;
    if (!State.LastExchange_ || *State.LastExchange_ < *Peer->EchoedAt_)
      State.LastExchange_ = Peer->EchoedAt_;
  }
}

void reportDisagreement(CoreState &State, const std::string &Source,
                        std::uint64_t Version) {
  requestReload(State);
  if (!isDue(State.DisagreementAt_, AlarmInterval, State.Now_))
    return;
  State.DisagreementAt_ = State.Now_;
  record(State, EventKind::Alarm, Source, Version,
         ResultCode::StoreAnswerInvalid,
         "contents at this version disagree; loading the state from the store");
}

} // namespace cumingauge::control

#include "control/credit.h"
#include "control/corestate.h"
#include "control/creditcalls.h"
#include "control/linkmanager.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::TimePoint;
using RequestIds = std::vector<std::uint64_t>;

constexpr model::seconds LinkIdleTime{60};
/// Silence on a link after which it is closed when a request on it is not
/// answered.
constexpr model::seconds DeadLinkTime{1};

void refreshQuotas(CoreState &State) {
  CreditState &Credit = State.Credit_;
  const model::Preset *Preset = model::presetInForce(*State.Log_.State_);
  const model::Workspaces Present =
      Preset ? Preset->Workspaces_ : model::Workspaces();
  if (Credit.Workspaces_.isSameObject(Present))
    return;
  Credit.Workspaces_ = Present;
  Credit.Quotas_.clear();
  for (const model::Workspace &Each : *Present)
    if (Each.Quota_)
      Credit.Quotas_[Each.Name_] = *Each.Quota_;
}

const model::CallQuota *findQuota(const CoreState &State,
                                  const std::string &Workspace) {
  const auto Found = State.Credit_.Quotas_.find(Workspace);
  return Found == State.Credit_.Quotas_.end() ? nullptr : &Found->second;
}

/// Returns the claim of another process for a part, or null. While none is
/// known, that is the process which claims it first in a new fleet.
const ports::CreditClaim *issuerOf(const CoreState &State, unsigned Part) {
  const auto &Known = State.Credit_.Parts_[Part].Known_;
  const auto &First = State.Credit_.First_[Part];
  const ports::CreditClaim *Out = First ? &*First : nullptr;
  if (Known && Known->Revision_ > 0)
    Out = &Known->Claim_;
  const bool IsOther = Out && !Out->Process_.empty() &&
                       Out->Process_ != State.Settings_.Self_.Process_;
  return IsOther ? Out : nullptr;
}

PartSet usableParts(const CoreState &State) {
  PartSet Out;
  for (unsigned Part = 0; Part < CreditParts; ++Part)
    Out[Part] = mayIssue(State.Credit_.Parts_[Part], State.Now_) ||
                issuerOf(State, Part) != nullptr;
  return Out;
}

/// Returns the link to a process that was opened last, or null.
const Link *issuerLink(const CoreState &State, const std::string &Process) {
  const Link *Out = nullptr;
  for (const auto &[Id, Value] : State.Links_.Links_)
    if (!Value.Operator_ && Value.Peer_.Process_ == Process &&
        (!Out || Value.OpenedAt_ >= Out->OpenedAt_))
      Out = &Value;
  return Out;
}

void decide(CoreState &State, std::uint64_t Request,
            const CreditDecision &Decision) {
  emitCommand(State, DecideCredit{Request, Decision});
  State.Credit_.Asker_.Wants_.erase(Request);
}

/// Closes a link on which a request was not answered if nothing else has come
/// on it either.
void closeIfDead(CoreState &State, const CreditWant &Want) {
  const auto Sent = State.Credit_.Asker_.Sent_.find(Want.Message_);
  if (Sent == State.Credit_.Asker_.Sent_.end())
    return;
  const Link *Used = findLink(State.Links_, Sent->second.Link_);
  if (Used && Used->IsForCredit_ &&
      State.Now_ - Used->LastReceivedAt_ >= DeadLinkTime)
    closeLink(State, Used->Id_, model::ResultCode::PeerUnreachable);
}

/// Returns whether the message that carries a request can no longer be
/// answered.
bool hasLostLink(const CoreState &State, const CreditWant &Want) {
  if (Want.Message_ == 0)
    return false;
  const auto &Sent = State.Credit_.Asker_.Sent_;
  const auto Batch = Sent.find(Want.Message_);
  return Batch == Sent.end() || !State.Links_.Links_.count(Batch->second.Link_);
}

std::optional<CreditDecision> fail(CoreState &State, CreditWant &Want) {
  closeIfDead(State, Want);
  wantClaims(State);
  return applyCreditFailure(State.Credit_.Asker_, Want, State.Now_);
}

/// Chooses the part to ask next; see choosePart.
bool chooseNextPart(CoreState &State, CreditWant &Want) {
  const PartSet Usable = usableParts(State);
  if (!Usable.all())
    wantClaims(State);
  for (unsigned Part = 0; Part < CreditParts; ++Part)
    if (mayIssue(State.Credit_.Parts_[Part], State.Now_))
      forgetSilence(State.Credit_.Asker_, Part);
  return choosePart(State.Credit_.Asker_, Want, Usable,
                    State.Random_(CreditParts), State.Now_);
}

/// Opens a link to the issuer of a part unless there is one. Returns false when
/// it cannot be reached.
bool prepareLink(CoreState &State, unsigned Part) {
  const ports::CreditClaim *Issuer = issuerOf(State, Part);
  if (!Issuer)
    return false;
  const PeerAddress Address{Issuer->Host_, Issuer->Port_};
  State.Credit_.Used_[Address] = State.Now_;
  if (issuerLink(State, Issuer->Process_))
    return true;
  if (isAddressAvoided(State, Address))
    return false;
  openLink(State, Address);
  return true;
}

/// Takes the present step of a request as far as possible. Returns the decision
/// or nothing while an answer, a link or a claim is awaited.
std::optional<CreditDecision> advance(CoreState &State, CreditWant &Want) {
  CreditAsker &Asker = State.Credit_.Asker_;
  const model::CallQuota *Quota = findQuota(State, Want.Workspace_);
  if (!Quota)
    return CreditDecision{CreditAnswer::Granted, model::milliseconds(0)};
  if (Want.Part_ && (isOverdue(Want, State.Now_) || hasLostLink(State, Want)))
    if (const auto Out = fail(State, Want))
      return Out;
  while (true) {
    if (!Want.Part_ && State.Now_ >= Want.Until_)
      return concludeWant(Want);
    if (!Want.Part_ && !chooseNextPart(State, Want)) {
      if (Want.Tried_.any() || Want.IsKnownEmpty_ ||
          isOverdue(Want, State.Now_) ||
          areSilent(Asker, usableParts(State), State.Now_))
        return concludeWant(Want);
      return std::nullopt;
    }
    std::optional<CreditDecision> Out;
    CreditPart &Part = State.Credit_.Parts_[*Want.Part_];
    if (mayIssue(Part, State.Now_))
      Out = applyCreditAnswer(Asker, Want,
                              issueCredit(Part.Tenure_->Issuer_,
                                          Want.Workspace_, *Quota, State.Now_),
                              State.Now_);
    else if (Want.Message_ != 0 || prepareLink(State, *Want.Part_))
      return std::nullopt;
    else
      Out = fail(State, Want);
    if (Out)
      return Out;
  }
}

/// Sends the requests for which a link is open, one message for each part.
void sendRequests(CoreState &State, const RequestIds &Requests) {
  CreditAsker &Asker = State.Credit_.Asker_;
  std::array<RequestIds, CreditParts> ByPart;
  for (const std::uint64_t Request : Requests) {
    const auto Found = Asker.Wants_.find(Request);
    if (Found != Asker.Wants_.end() && Found->second.Part_ &&
        Found->second.Message_ == 0)
      ByPart[*Found->second.Part_].push_back(Request);
  }
  for (unsigned Part = 0; Part < CreditParts; ++Part) {
    if (ByPart[Part].empty())
      continue;
    const ports::CreditClaim *Issuer = issuerOf(State, Part);
    const Link *To = Issuer ? issuerLink(State, Issuer->Process_) : nullptr;
    if (!To)
      continue;
    CreditRequest Message{++Asker.LastMessage_, Part, {}};
    for (const std::uint64_t Request : ByPart[Part]) {
      CreditWant &Want = Asker.Wants_[Request];
      Want.Message_ = Message.Number_;
      Message.Workspaces_.push_back(Want.Workspace_);
    }
    Asker.Sent_[Message.Number_] = {To->Id_, State.Now_, ByPart[Part]};
    send(State, *To, std::move(Message));
  }
}

void advance(CoreState &State, const RequestIds &Requests) {
  for (const std::uint64_t Request : Requests) {
    const auto Found = State.Credit_.Asker_.Wants_.find(Request);
    if (Found == State.Credit_.Asker_.Wants_.end())
      continue;
    if (const auto Decision = advance(State, Found->second))
      decide(State, Request, *Decision);
  }
  sendRequests(State, Requests);
}

void dropUnansweredBatches(CoreState &State) {
  auto &Sent = State.Credit_.Asker_.Sent_;
  while (!Sent.empty() &&
         State.Now_ - Sent.begin()->second.SentAt_ > 2 * CreditTimeout)
    Sent.erase(Sent.begin());
}

void closeIdleLinks(CoreState &State) {
  auto &Used = State.Credit_.Used_;
  for (auto It = Used.begin(); It != Used.end();) {
    if (State.Now_ - It->second < LinkIdleTime) {
      ++It;
      continue;
    }
    RequestIds Idle;
    for (const auto &[Id, Value] : State.Links_.Links_)
      if (Value.IsForCredit_ &&
          PeerAddress{Value.Peer_.Host_, Value.Peer_.Port_} == It->first)
        Idle.push_back(Id);
    for (const LinkId Id : Idle)
      closeLink(State, Id, model::ResultCode::Ok);
    It = Used.erase(It);
  }
}

CreditDecision decisionOf(const CreditGrant &Answer) {
  if (Answer.Granted_)
    return {CreditAnswer::Granted, model::milliseconds(0)};
  if (!Answer.RetryAfterMs_)
    return {};
  return {CreditAnswer::Refused, model::milliseconds(*Answer.RetryAfterMs_)};
}

CreditGrant grantOf(const CreditDecision &Decision) {
  CreditGrant Out;
  Out.Granted_ = Decision.Answer_ == CreditAnswer::Granted;
  if (Decision.Answer_ == CreditAnswer::Refused)
    Out.RetryAfterMs_ =
        static_cast<std::uint32_t>(Decision.RetryAfter_.count());
  return Out;
}

} // namespace

void advanceCredit(CoreState &State) {
  RequestIds All;
  for (const auto &Entry : State.Credit_.Asker_.Wants_)
    All.push_back(Entry.first);
  if (!All.empty())
    advance(State, All);
}

void followCredit(CoreState &State) {
  refreshQuotas(State);
  if (!State.Credit_.Quotas_.empty())
    followClaims(State);
  advanceCredit(State);
  dropUnansweredBatches(State);
  closeIdleLinks(State);
}

void handleCreditWanted(CoreState &State, const CreditWanted &Input) {
  if (!State.Settings_.FollowsDirectory_ || State.IsStopping_)
    return emitCommand(State, DecideCredit{Input.Request_, {}});
  refreshQuotas(State);
  CreditWant Want;
  Want.Workspace_ = Input.Workspace_;
  Want.WantedAt_ = State.Now_;
  Want.Until_ = Input.Until_;
  State.Credit_.Asker_.Wants_[Input.Request_] = std::move(Want);
  advance(State, RequestIds{Input.Request_});
}

void handleCreditRequest(CoreState &State, Link &From,
                         const CreditRequest &Message) {
  refreshQuotas(State);
  if (!From.Outbound_ && !From.Subscriber_)
    From.IsForCredit_ = true;
  CreditReply Out;
  Out.Number_ = Message.Number_;
  if (Message.Part_ < CreditParts &&
      mayIssue(State.Credit_.Parts_[Message.Part_], State.Now_)) {
    CreditIssuer &Issuer = State.Credit_.Parts_[Message.Part_].Tenure_->Issuer_;
    for (const std::string &Workspace : Message.Workspaces_) {
      const model::CallQuota *Quota = findQuota(State, Workspace);
      Out.Answers_.push_back(
          Quota ? grantOf(issueCredit(Issuer, Workspace, *Quota, State.Now_))
                : CreditGrant());
    }
  }
  send(State, From, std::move(Out));
}

void handleCreditReply(CoreState &State, const CreditReply &Message) {
  CreditAsker &Asker = State.Credit_.Asker_;
  const auto Sent = Asker.Sent_.find(Message.Number_);
  if (Sent == Asker.Sent_.end())
    return;
  const RequestIds Requests = std::move(Sent->second.Requests_);
  Asker.Sent_.erase(Sent);
  for (std::size_t I = 0; I < Requests.size(); ++I) {
    const auto Found = Asker.Wants_.find(Requests[I]);
    if (Found == Asker.Wants_.end() ||
        Found->second.Message_ != Message.Number_ ||
        isOverdue(Found->second, State.Now_))
      continue;
    CreditWant &Want = Found->second;
    const auto Decision =
        I < Message.Answers_.size()
            ? applyCreditAnswer(Asker, Want, decisionOf(Message.Answers_[I]),
                                State.Now_)
            : fail(State, Want);
    if (Decision)
      decide(State, Requests[I], *Decision);
  }
  advance(State, Requests);
}

bool handleCreditResponse(CoreState &State, StoreCallId Call,
                          const ports::DirectoryResponse &Response) {
  if (!handleClaimResponse(State, Call, Response))
    return false;
  advanceCredit(State);
  return true;
}

void endCredit(CoreState &State) {
  releaseClaims(State);
  RequestIds All;
  for (const auto &Entry : State.Credit_.Asker_.Wants_)
    All.push_back(Entry.first);
  for (const std::uint64_t Request : All)
    decide(State, Request, {});
}

bool isAskedForCredit(const CoreState &State, const PeerAddress &Address) {
  return State.Credit_.Used_.count(Address) > 0;
}

std::size_t countExpectedAskers(const CoreState &State) {
  const auto &Parts = State.Credit_.Parts_;
  const bool IsIssuer =
      std::any_of(Parts.begin(), Parts.end(), [](const CreditPart &Part) {
        return Part.Tenure_.has_value();
      });
  return IsIssuer ? State.Directory_.ListedMembers_.size() : 0;
}

} // namespace cumingauge::control

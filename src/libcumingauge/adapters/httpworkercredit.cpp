// The part of HttpWorker that deals with the credit of calls whose workspace
// has a quota.
#include "adapters/httpworker.h"
#include <boost/asio/post.hpp>

namespace cumingauge::adapters {

namespace {

/// Calls of one workspace that may wait for credit in one thread.
constexpr unsigned MaxCreditWaiters = 256;

} // namespace

void HttpWorker::requestCredit(const std::shared_ptr<HttpCall> &Call) {
  if (const auto Refusal =
          policy::refuseInAdvance(*Balancer_, Call->facts(), now()))
    return Call->decide(*Refusal);
  const model::TimePoint Now = now();
  unsigned &Waiters = CreditWaiters_[Call->workspace()];
  if (Waiters >= MaxCreditWaiters) {
    {
      const std::lock_guard<std::mutex> Lock(PublishedMutex_);
      ++Stats_.Credit_.RefusedWaits_;
    }
    return Call->decide(*traffic::refusalBy({}));
  }
  const std::uint64_t Request =
      traffic::numberOf({Index_, ++LastCreditRequest_});
  Call->credit().Request_ = Request;
  Call->credit().RequestedAt_ = Now;
  const model::TimePoint Until = traffic::creditWaitEnd(
      Now, Call->facts().Deadline_, limits().CreditWait_);
  CreditWaits_[Request] = {Call, Call->workspace(), Until};
  ++Waiters;
  Common_->Hooks_.RequestCredit_(Request, Call->workspace(), Until);
}

void HttpWorker::applyCredit(std::uint64_t Request,
                             const control::CreditDecision &Decision) {
  boost::asio::post(
      Io_, [this, Request, Decision] { handleCredit(Request, Decision); });
}

void HttpWorker::handleCredit(std::uint64_t Request,
                              const control::CreditDecision &Decision) {
  const CreditWait Wait = takeCreditWait(Request);
  const auto Call = Wait.Call_.lock();
  const auto Waited = Call ? traffic::endCreditWait(Call->credit(), now())
                           : std::optional<model::Duration>();
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    traffic::recordCredit(Stats_.Credit_, Decision.Answer_, Waited);
  }
  if (!Call)
    return;
  if (const auto Refusal = traffic::refusalBy(Decision))
    return Call->decide(*Refusal);
  Call->credit().GrantedTo_ = Wait.Workspace_;
  admit(Call);
}

void HttpWorker::checkCreditWaits() {
  const model::TimePoint Now = now();
  std::vector<std::uint64_t> Overdue;
  for (const auto &[Request, Wait] : CreditWaits_)
    if (Now >= Wait.Until_)
      Overdue.push_back(Request);
  for (const std::uint64_t Request : Overdue) {
    const auto Call = takeCreditWait(Request).Call_.lock();
    if (!Call)
      continue;
    endCreditWait(*Call);
    Call->decide(*traffic::refusalBy({}));
  }
}

void HttpWorker::endCreditWait(HttpCall &Call) {
  takeCreditWait(Call.credit().Request_);
  const auto Waited = traffic::endCreditWait(Call.credit(), now());
  if (!Waited)
    return;
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  traffic::recordCreditWaitEnd(Stats_.Credit_, *Waited);
}

/// Returns an empty one when its call has ended.
HttpWorker::CreditWait HttpWorker::takeCreditWait(std::uint64_t Request) {
  const auto Found = CreditWaits_.find(Request);
  if (Found == CreditWaits_.end())
    return {};
  CreditWait Out = std::move(Found->second);
  CreditWaits_.erase(Found);
  const auto Waiters = CreditWaiters_.find(Out.Workspace_);
  if (--Waiters->second == 0)
    CreditWaiters_.erase(Waiters);
  return Out;
}

} // namespace cumingauge::adapters

// The part of HttpWorker that deals with the credit of calls whose workspace
// has a quota.
#include "adapters/httpworker.h"
#include <boost/asio/post.hpp>

namespace cumingauge::adapters {

void HttpWorker::requestCredit(const std::shared_ptr<HttpCall> &Call) {
  if (const auto Refusal =
          policy::refuseInAdvance(*Balancer_, Call->facts(), now()))
    return Call->decide(*Refusal);
  const std::uint64_t Request =
      traffic::numberOf({Index_, ++LastCreditRequest_});
  Call->credit().Request_ = Request;
  Call->credit().RequestedAt_ = now();
  CreditWaits_[Request] = {Call, Call->workspace()};
  Common_->Hooks_.RequestCredit_(Request, Call->workspace());
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

void HttpWorker::endCreditWait(HttpCall &Call) {
  CreditWaits_.erase(Call.credit().Request_);
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
  return Out;
}

} // namespace cumingauge::adapters

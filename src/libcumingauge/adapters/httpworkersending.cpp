// The part of HttpWorker that asks whether a decision on a call still holds
// when the call is about to be sent.
#include "adapters/httpworker.h"
#include "policy/notices.h"
#include <algorithm>

namespace cumingauge::adapters {

namespace {

/// Returns whether calls of a route may go to a service.
bool hasService(const model::Route &Route, const std::string &Service) {
  if (Route.Parts_.empty())
    return Route.Service_ == Service;
  return std::any_of(Route.Parts_.begin(), Route.Parts_.end(),
                     [&](const model::RoutePart &Part) {
                       return Part.Service_ == Service && Part.Weight_ > 0;
                     });
}

} // namespace

bool HttpWorker::maySend(const HttpCall &Call, policy::ServerHandle Server) {
  takeNewestView();
  return isFresh() && policy::takesCalls(*Balancer_, Server, now()) &&
         policy::serverOf(*Balancer_, Server).Service_ ==
             Call.facts().Route_.Service_ &&
         isAdmittedAsBefore(Call);
}

bool HttpWorker::isAdmittedAsBefore(const HttpCall &Call) const {
  if (!View_ || Call.configVersion() == View_->Config_->Version_)
    return true;
  const traffic::RequestHead &Head = Call.head();
  const model::Route &Former = Call.facts().Route_;
  const auto Route = Routes_.find(traffic::pathOf(Head), Head.Host_);
  return Route && Route->Name_ == Former.Name_ &&
         Route->Homes_ == Former.Homes_ &&
         hasService(*Route, Former.Service_) &&
         identify(Head, *Route) == Call.identity();
}

bool HttpWorker::renewAdmission(HttpCall &Call) {
  if (isAdmittedAsBefore(Call))
    return true;
  RequestAdmission Renewed = admitRequest(Call.head());
  if (!Renewed.Route_) {
    Call.decide({policy::Verdict::Refuse, policy::NoServer,
                 refusalCode(Renewed.Reason_)});
    return false;
  }
  Call.setAdmission(std::move(Renewed));
  return true;
}

} // namespace cumingauge::adapters

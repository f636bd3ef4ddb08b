// The part of HttpWorker that deals with backend servers: control view,
// connection pools, probes and load reports.
#include "adapters/httpworker.h"
#include "policy/coldservers.h"
#include "policy/notices.h"
#include <boost/asio/post.hpp>

namespace cumingauge::adapters {

using model::ResultCode;

namespace {

constexpr model::seconds MaintenancePeriod{1};
constexpr const char *DefaultProbePath = "/load";

} // namespace

void HttpWorker::applyView(std::shared_ptr<const model::ControlView> View) {
  {
    const std::lock_guard<std::mutex> Lock(NewestViewMutex_);
    NewestView_ = std::move(View);
  }
  boost::asio::post(Io_, [this] { takeNewestView(); });
}

void HttpWorker::takeNewestView() {
  std::shared_ptr<const model::ControlView> View;
  {
    const std::lock_guard<std::mutex> Lock(NewestViewMutex_);
    View = std::exchange(NewestView_, nullptr);
  }
  if (View)
    handleView(View);
}

void HttpWorker::handleView(
    const std::shared_ptr<const model::ControlView> &View) {
  const bool Changed = !View_ || View_->Config_ != View->Config_;
  View_ = View;
  policy::applyView(*Balancer_, View, now());
  if (const model::Preset *Preset = model::presetInForce(*View->Config_)) {
    if (Changed)
      Routes_.replaceRoutes(Preset->Routes_, rotationStart());
    KeysRequired_ = Preset->KeysRequired_;
    if (!Keys_.isFor(Preset->Workspaces_))
      Keys_ = traffic::WorkspaceKeys(Preset->Workspaces_);
    applyLimits(Preset->Callers_);
    ConnectTimeout_ = Preset->Servers_.ConnectTimeout_;
    ProbeTimeout_ = Preset->Measuring_.ProbeTimeout_;
    LoadQueryTimeout_ = Preset->Measuring_.LoadQueryTimeout_;
  }
  for (const auto &[Name, Listed] : View->Config_->Servers_)
    if (const auto Handle = policy::findServer(*Balancer_, Name, Listed.Vm_))
      server(*Handle);
  for (auto &[Handle, Entry] : Servers_)
    updateServer(Handle, Entry);
  if (!waitsForFirstView())
    startHeldSessions();
  NextMaintenance_ = now();
  scheduleRelease();
}

double HttpWorker::rotationStart() const {
  constexpr double Steps = 4294967296.0; // 2^32
  return static_cast<std::uint32_t>(Common_->Settings_.Seed_) / Steps;
}

void HttpWorker::applyLimits(const model::CallerLimits &Callers) {
  const HttpLimits &Own = ConfiguredLimits_;
  const model::milliseconds None{0};
  Limits_ = Own;
  MemoryMarks_ = policy::callerMemoryMarks(Limits_.MemoryMb_);
  Limits_.HeaderBytes_ =
      Callers.HeaderBytes_ > 0 ? Callers.HeaderBytes_ : Own.HeaderBytes_;
  Limits_.HeadTimeout_ =
      Callers.HeadTimeout_ > None ? Callers.HeadTimeout_ : Own.HeadTimeout_;
  Limits_.IdleTimeout_ =
      Callers.IdleTimeout_ > None ? Callers.IdleTimeout_ : Own.IdleTimeout_;
}

void HttpWorker::setLimits(const HttpLimits &Limits) {
  boost::asio::post(Io_, [this, Limits] {
    ConfiguredLimits_ = Limits;
    const model::Preset *Preset =
        View_ ? model::presetInForce(*View_->Config_) : nullptr;
    applyLimits(Preset ? Preset->Callers_ : model::CallerLimits());
  });
}

void HttpWorker::updateServer(policy::ServerHandle Handle, Server &Entry) {
  const bool Listed = isListed(Handle);
  Entry.Pool_->setShare(policy::connectionShare(*Balancer_, Handle),
                        ConnectTimeout_, Listed);
  if (Listed)
    applyServerEvent(Handle, Entry, traffic::ServerListed{});
  else
    applyServerEvent(Handle, Entry, traffic::ServerLeft{});
}

bool HttpWorker::isListed(policy::ServerHandle Handle) const {
  const model::BackendServer &Known = policy::serverOf(*Balancer_, Handle);
  const auto &Servers = View_->Config_->Servers_;
  const auto Found = Servers.find(Known.Name_);
  return Found != Servers.end() && Found->second.Vm_ == Known.Vm_ &&
         View_->LeavingServers_.count(Known.Name_) == 0 &&
         !model::isEvacuated(*View_->Config_, Known) &&
         !policy::hasAnnouncedLeaving(*Balancer_, Handle);
}

HttpWorker::Server &HttpWorker::server(policy::ServerHandle Handle) {
  Server &Entry = Servers_[Handle];
  if (Entry.Pool_)
    return Entry;
  const model::BackendServer &Known = policy::serverOf(*Balancer_, Handle);
  boost::system::error_code Ignored; // an invalid address fails to connect
  const auto Address = boost::asio::ip::make_address(Known.Host_, Ignored);
  Entry.Pool_ = std::make_shared<HttpPool>(
      Io_, boost::asio::ip::tcp::endpoint(Address, Known.Port_),
      Common_->Settings_.Limits_.HeaderBytes_, dialect());
  Entry.Pool_->setShare(policy::connectionShare(*Balancer_, Handle),
                        ConnectTimeout_, /*Keep=*/true);
  return Entry;
}

HttpPool &HttpWorker::pool(policy::ServerHandle Handle) {
  return *server(Handle).Pool_;
}

void HttpWorker::applyServerEvent(policy::ServerHandle Handle, Server &Entry,
                                  const traffic::ServerEvent &Event) {
  for (const traffic::ServerAction Action : Entry.Life_.process(Event)) {
    if (Action == traffic::ServerAction::CloseIdle) {
      Entry.Pool_->dismissWaiters();
      Entry.Pool_->closeIdle();
      continue;
    }
    const model::BackendServer &Known = policy::serverOf(*Balancer_, Handle);
    Common_->Hooks_.Events_(
        model::EventKind::ServerLastCallEnded, Known.Name_,
        View_ ? View_->Config_->Version_ : 0, ResultCode::Ok,
        "vm " + Known.Vm_ + ", traffic thread " + std::to_string(Index_));
  }
}

void HttpWorker::maintainPools() {
  const model::TimePoint Now = now();
  NextMaintenance_ = Now + MaintenancePeriod;
  for (auto It = Servers_.begin(); It != Servers_.end();) {
    Server &Entry = It->second;
    Entry.Pool_->setShare(policy::connectionShare(*Balancer_, It->first),
                          ConnectTimeout_, !Entry.Life_.isLeaving());
    Entry.Pool_->maintain(Now, limits().BackendIdleTimeout_);
    const bool Removable =
        Entry.Life_.isLeaving() && Entry.Life_.calls() == 0 &&
        Entry.Pool_->connections() == 0 &&
        View_->Config_->Servers_.count(
            policy::serverOf(*Balancer_, It->first).Name_) == 0;
    It = Removable ? Servers_.erase(It) : std::next(It);
  }
}

void HttpWorker::sendProbes() {
  if (!View_)
    return;
  for (const policy::DueProbe &Order : policy::dueProbes(*Balancer_, now()))
    sendProbe(Order.Server_, ProbeTimeout_, [] {});
}

void HttpWorker::sendProbe(policy::ServerHandle Handle,
                           model::milliseconds Timeout,
                           std::function<void()> Done) {
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    ++Stats_.ProbesSent_;
  }
  const auto Probe = std::make_shared<HttpProbe>(
      Io_, server(Handle).Pool_, dialect(), probePath(Handle),
      [this, Handle, Done = std::move(Done)](const HttpProbe::Result &Result) {
        onProbeEnded(Handle, Result);
        Done();
      });
  Probe->start(Timeout);
}

/// Queries servers for their load before a call is placed. Returns false when
/// there is no server to query in this round.
bool HttpWorker::queryLoad(const std::shared_ptr<HttpCall> &Call,
                           policy::LoadQueryRound Round) {
  const policy::CallId Id = Call->facts().Call_;
  const auto QueriedServers =
      policy::serversToQuery(*Balancer_, Call->facts(), Round, now());
  if (QueriedServers.empty())
    return false;
  LoadQuery &Query = LoadQueries_[Id];
  Query.Call_ = Call;
  Query.Outstanding_ = static_cast<unsigned>(QueriedServers.size());
  Query.Round_ = Round;
  Query.Timer_ = std::make_shared<boost::asio::steady_timer>(Io_);
  Query.Timer_->expires_after(LoadQueryTimeout_);
  Query.Timer_->async_wait([this, Id](boost::system::error_code Error) {
    if (!Error)
      endLoadQuery(Id);
  });
  for (const policy::ServerHandle Handle : QueriedServers)
    sendProbe(Handle, ProbeTimeout_, [this, Id] { onLoadQueryAnswered(Id); });
  return true;
}

void HttpWorker::onLoadQueryAnswered(policy::CallId Id) {
  const auto Found = LoadQueries_.find(Id);
  if (Found != LoadQueries_.end() && --Found->second.Outstanding_ == 0)
    endLoadQuery(Id);
}

void HttpWorker::endLoadQuery(policy::CallId Id) {
  const auto Found = LoadQueries_.find(Id);
  if (Found == LoadQueries_.end())
    return;
  const auto Call = Found->second.Call_.lock();
  auto Round = std::optional(Found->second.Round_);
  LoadQueries_.erase(Found);
  if (!Call)
    return;
  if (!policy::hasResponsiveServerInZone(*Balancer_, Call->facts(), now()))
    while ((Round = policy::nextQueryRound(*Round)))
      if (queryLoad(Call, *Round))
        return;
  choose(Call);
}

std::string HttpWorker::probePath(policy::ServerHandle Handle) const {
  const std::string &Service = policy::serverOf(*Balancer_, Handle).Service_;
  const model::Preset *Preset = model::presetInForce(*View_->Config_);
  const model::ServiceRule *Rule =
      Preset ? model::findServiceRule(*Preset, Service) : nullptr;
  return Rule && !Rule->HealthPath_.empty() ? Rule->HealthPath_
                                            : DefaultProbePath;
}

void HttpWorker::onProbeEnded(policy::ServerHandle Server,
                              const HttpProbe::Result &Result) {
  recordAnswerFault(Server, Result.Fault_, Result.Status_, /*Call=*/"");
  recordNotice(Server, Result.Notice_, /*Call=*/"");
  if (Result.Report_) {
    policy::recordReport(*Balancer_, Server, *Result.Report_, now());
    reportObservation(Server, *Result.Report_);
    return scheduleRelease();
  }
  policy::recordProbeFailure(*Balancer_, Server, now());
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  ++Stats_.ProbesFailed_;
}

void HttpWorker::recordReport(policy::ServerHandle Handle,
                              const std::string &Text) {
  const auto Report = dialect().ReadReport_(Text);
  if (!Report)
    return;
  policy::recordReport(*Balancer_, Handle, *Report, now());
  Server &Entry = server(Handle);
  if (Report->Draining_ && !Entry.DrainingReported_)
    reportObservation(Handle, *Report);
  Entry.DrainingReported_ = Report->Draining_;
}

void HttpWorker::recordNotice(policy::ServerHandle Handle,
                              const model::ServerNotice &Notice,
                              const std::string &Call) {
  if (Notice == model::ServerNotice())
    return;
  const model::BackendServer &Known = policy::serverOf(*Balancer_, Handle);
  if (Notice.IsUnreadable_) {
    {
      const std::lock_guard<std::mutex> Lock(PublishedMutex_);
      ++Stats_.UnreadableNotices_;
    }
    CallLog_.recordUnreadableNotice(Call, Known.Name_, now());
  }
  if (closeServer(Handle, Notice, Call.empty() ? "probe" : "call " + Call))
    Common_->ShareNotice_(*this, Known.Name_, Known.Vm_, Notice);
}

void HttpWorker::recordAnswerFault(policy::ServerHandle Handle,
                                   model::AnswerFault Fault, unsigned Status,
                                   const std::string &Call) {
  if (Fault == model::AnswerFault::None)
    return;
  const model::BackendServer &Known = policy::serverOf(*Balancer_, Handle);
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    traffic::recordFaultyAnswer(Stats_, Known.Name_, Fault);
  }
  CallLog_.recordFaultyAnswer(Call, Known, Fault, Status, now());
}

void HttpWorker::applyNotice(const std::string &Server, const std::string &Vm,
                             const model::ServerNotice &Notice) {
  boost::asio::post(Io_, [this, Server, Vm, Notice] {
    if (const auto Handle = policy::findServer(*Balancer_, Server, Vm))
      closeServer(*Handle, Notice, "another thread");
  });
}

bool HttpWorker::closeServer(policy::ServerHandle Handle,
                             const model::ServerNotice &Notice,
                             const std::string &Cause) {
  const model::BackendServer &Known = policy::serverOf(*Balancer_, Handle);
  switch (policy::applyNotice(*Balancer_, Handle, Notice, now())) {
  case policy::NoticeEffect::None:
    return false;
  case policy::NoticeEffect::Left:
    updateServer(Handle, server(Handle));
    recordNoticeEvent(model::EventKind::ServerLeaving, Known,
                      ", own answer, " + Cause);
    break;
  case policy::NoticeEffect::Paused:
    recordNoticeEvent(model::EventKind::ServerPaused, Known,
                      ", for " + std::to_string(Notice.Pause_.count()) +
                          " ms, own answer, " + Cause);
    break;
  case policy::NoticeEffect::Cold:
    recordNoticeEvent(model::EventKind::ServerCold, Known,
                      ", for " + std::to_string(Notice.ColdFor_.count()) +
                          " ms, own answer, " + Cause);
    break;
  }
  scheduleRelease();
  return true;
}

void HttpWorker::endPauses() {
  for (const policy::ServerHandle Handle : policy::endPauses(*Balancer_, now()))
    recordNoticeEvent(model::EventKind::ServerResumed,
                      policy::serverOf(*Balancer_, Handle), "");
  if (!policy::endColdPhases(*Balancer_, now()).empty())
    scheduleRelease();
}

model::AttemptTrace HttpWorker::traceOf(policy::ServerHandle Handle) const {
  return policy::traceOf(*Balancer_, Handle, now());
}

const std::string &HttpWorker::serverName(policy::ServerHandle Handle) const {
  return policy::serverOf(*Balancer_, Handle).Name_;
}

void HttpWorker::reportDraining(policy::ServerHandle Handle) {
  Server &Entry = server(Handle);
  if (Entry.DrainingReported_)
    return;
  Entry.DrainingReported_ = true;
  model::LoadReport Report;
  Report.Draining_ = true;
  reportObservation(Handle, Report);
}

void HttpWorker::reportObservation(policy::ServerHandle Handle,
                                   const model::LoadReport &Report) {
  const model::BackendServer &Known = policy::serverOf(*Balancer_, Handle);
  Common_->Hooks_.ReportObservation_({Known.Name_, Known.Vm_, Report});
}

void HttpWorker::applyObservations(
    std::vector<control::ServerObservation> Observations) {
  boost::asio::post(Io_, [this, Observations = std::move(Observations)] {
    for (const control::ServerObservation &Observation : Observations)
      if (const auto Handle = policy::findServer(
              *Balancer_, Observation.Server_, Observation.Vm_))
        policy::recordReport(*Balancer_, *Handle, Observation.Report_, now());
  });
}

} // namespace cumingauge::adapters

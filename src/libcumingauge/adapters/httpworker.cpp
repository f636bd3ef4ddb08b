#include "adapters/httpworker.h"
#include "adapters/log.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace cumingauge::adapters {

using model::ResultCode;

namespace {

constexpr model::milliseconds BusyTickPeriod{2}; ///< while calls wait
constexpr model::milliseconds UploadCheckPeriod{200};
/// Connections above the limit that get a refusal; further ones are closed
/// without an answer.
constexpr unsigned MaxConnectionsBeingRefused = 256;
/// Distance between the seeds of two threads of a process.
constexpr std::uint64_t SeedStep = 7919;

std::uint64_t wallMicros() {
  using namespace std::chrono;
  return static_cast<std::uint64_t>(
      duration_cast<microseconds>(system_clock::now().time_since_epoch())
          .count());
}

} // namespace

HttpWorker::HttpWorker(std::shared_ptr<SharedState> Common, unsigned Index)
    : Common_(std::move(Common)), Index_(Index),
      CallIdPrefix_(std::to_string(wallMicros()) + "-" + std::to_string(Index) +
                    "-"),
      TickTimer_(Io_), TickWatch_("traffic " + std::to_string(Index)),
      Balancer_(policy::makeBalancer(
          Common_->Settings_.Zone_, Common_->Settings_.Threads_,
          Common_->Settings_.Seed_ + Index * SeedStep, Index)),
      ConfiguredLimits_(Common_->Settings_.Limits_), StartedAt_(now()),
      Limits_(ConfiguredLimits_),
      MemoryMarks_(policy::callerMemoryMarks(Limits_.MemoryMb_)) {}

HttpWorker::~HttpWorker() = default;

void HttpWorker::run() {
  tick();
  Io_.run();
}

void HttpWorker::stop() { Io_.stop(); }

// Callers' sessions.

void HttpWorker::addCallerConnection(boost::asio::ip::tcp::socket Socket) {
  const unsigned Open = ++Common_->CallerConnections_;
  const bool HasRoom =
      Open <= limits().MaxCallerConnections_ &&
      (Open <= Common_->MostCallerConnections_ || displaceCallerConnection());
  if (Open > maxCallerConnections() + MaxConnectionsBeingRefused) {
    --Common_->CallerConnections_;
    return recordUnservedConnection(Socket);
  }
  const auto Session =
      std::make_shared<HttpCallerSession>(std::move(Socket), *this);
  Sessions_.insert(Session.get());
  if (Stop_)
    Session->startDraining();
  // Nothing waits for the calls of a thread that has ended its drain.
  if (Stop_ && !DrainDone_)
    return Session->refuseConnection(ResultCode::NotRunStopping);
  if (!HasRoom)
    return Session->refuseConnection(ResultCode::NotRunTooManyConnections);
  if (!waitsForFirstView())
    return Session->start();
  Session->countTimeFrom(now());
  HeldSessions_.push_back(Session);
}

/// A refusal would cost a caller one of its few attempts when the whole fleet
/// starts at once, so connections wait for the first view instead.
bool HttpWorker::waitsForFirstView() const {
  const bool HasPreset = View_ && model::presetInForce(*View_->Config_);
  return !HasPreset && !Stop_ && now() - StartedAt_ < limits().FreshWait_;
}

void HttpWorker::startHeldSessions() {
  if (HeldSessions_.empty())
    return;
  log(LogLevel::Info, "connections waited for the first view",
      {{"connections", HeldSessions_.size()},
       {"afterStartMs",
        std::chrono::duration_cast<model::milliseconds>(now() - StartedAt_)
            .count()}});
  const auto Held = std::exchange(HeldSessions_, {});
  for (const auto &Session : Held)
    Session->start();
}

void HttpWorker::removeSession(HttpCallerSession &Session) {
  if (Sessions_.erase(&Session) > 0)
    --Common_->CallerConnections_;
  finishDrainIfDone();
}

RequestAdmission HttpWorker::admitRequest(const traffic::RequestHead &Head) {
  const model::Preset *Preset =
      View_ ? model::presetInForce(*View_->Config_) : nullptr;
  if (!Preset)
    return {nullptr, ResultCode::NotRunControlStale, {}};
  auto Route = Routes_.choose(Head.Host_, traffic::pathOf(Head));
  if (!Route)
    return {nullptr, ResultCode::RequestNoRoute, {}};
  auto Identity = identify(Head, *Route);
  if (Identity.Reason_ != ResultCode::Ok)
    return {nullptr, Identity.Reason_, {}};
  return {std::move(Route), ResultCode::Ok, std::move(Identity),
          View_->Config_->Version_};
}

traffic::CallerIdentity HttpWorker::identify(const traffic::RequestHead &Head,
                                             const model::Route &Route) const {
  const bool KeyRequired = KeysRequired_ && !Route.Public_.value_or(false);
  auto Identity =
      traffic::identifyCaller(Keys_, dialect().KeyScheme_, Head, KeyRequired);
  Identity.Reason_ = refusalCode(Identity.Reason_);
  return Identity;
}

ResultCode HttpWorker::refusalCode(ResultCode Code) const {
  switch (Code) {
  case ResultCode::RequestNoRoute:
  case ResultCode::RequestKeyUnknown:
  case ResultCode::RequestBodyTooLarge:
  case ResultCode::RequestHeadersTooLarge:
    return isConfigurationKnown() ? Code : ResultCode::NotRunControlStale;
  default:
    return Code;
  }
}

bool HttpWorker::isConfigurationKnown() const {
  const auto Known = Common_->Hooks_.Configuration_();
  const model::Preset *Preset =
      View_ ? model::presetInForce(*View_->Config_) : nullptr;
  return Preset && !Preset->Incomplete_.value_or(false) &&
         View_->Config_->Version_ == Known.Version_ &&
         now() < Known.KnownUntil_;
}

void HttpWorker::recordRefusedRequest(const traffic::RequestHead &Head,
                                      ResultCode Code,
                                      const std::string &Detail) {
  const model::TimePoint Now = now();
  const auto Known = Common_->Hooks_.Configuration_();
  RefusalRecord Record{Head.CallId_, Head.Target_, Head.Host_, Code, Detail};
  Record.ConfigVersion_ = View_ ? View_->Config_->Version_ : 0;
  Record.AcceptedVersion_ = Known.Version_;
  if (Known.ConfirmedAt_ != model::TimePoint())
    Record.ConfigAge_ = std::chrono::duration_cast<model::milliseconds>(
        Now - Known.ConfirmedAt_);
  if (Common_->Hooks_.ConfigurationSource_)
    Record.ConfigSource_ = Common_->Hooks_.ConfigurationSource_();
  CallLog_.recordRefusedRequest(Record, Now);
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  traffic::recordCall(Stats_.Routes_[""], Code, model::Duration(0));
}

void HttpWorker::drain(std::function<void()> Done) {
  boost::asio::post(Io_, [this, Done = std::move(Done)] {
    DrainDone_ = Done;
    Stop_ = planStop(limits(), now());
    startHeldSessions();
    for (HttpCallerSession *Session : Sessions_)
      Session->startDraining();
    finishDrainIfDone();
  });
}

void HttpWorker::refuseFurtherRequests() {
  const std::vector<HttpCallerSession *> Open(Sessions_.begin(),
                                              Sessions_.end());
  if (!std::exchange(RefusalLogged_, true))
    log(LogLevel::Info, "no further requests are taken",
        {{"connections", Open.size()}, {"calls", Stats_.InFlight_}});
  for (HttpCallerSession *Session : Open)
    if (Sessions_.count(Session) > 0)
      Session->refuseFurtherRequests();
}

void HttpWorker::finishDrainIfDone() {
  const model::TimePoint Now = now();
  if (!DrainDone_)
    return;
  const bool IsBusy = !Sessions_.empty() || Now < Stop_->AcceptEnd_;
  if (IsBusy && Now < Stop_->End_)
    return;
  log(LogLevel::Info, "drain ended",
      {{"tookMs",
        std::chrono::duration_cast<model::milliseconds>(Now - Stop_->StartedAt_)
            .count()},
       {"connections", Sessions_.size()},
       {"calls", Stats_.InFlight_}});
  for (HttpCallerSession *Session : Sessions_)
    Session->recordProcessEnd();
  const auto Done = std::move(DrainDone_);
  DrainDone_ = nullptr;
  Done();
}

// Calls.

void HttpWorker::admit(const std::shared_ptr<HttpCall> &Call) {
  const model::TimePoint Now = now();
  if (Common_->Hooks_.IsFresh_(Now)) {
    if (!renewAdmission(*Call))
      return;
    if (Call->needsCredit())
      requestCredit(Call);
    else if (!queryLoad(Call, policy::LoadQueryRound::OwnZone))
      choose(Call);
    return;
  }
  FreshViewWaits_.push_back(
      {Call, Call->facts().Call_, Now + limits().FreshWait_});
}

void HttpWorker::choose(const std::shared_ptr<HttpCall> &Call) {
  const policy::Decision Decision =
      policy::admit(*Balancer_, Call->facts(), now());
  if (Decision.Verdict_ == policy::Verdict::Wait)
    QueuedCalls_[Call->facts().Call_] = Call;
  else
    Call->decide(Decision);
}

void HttpWorker::removeFromQueue(HttpCall &Call) {
  if (QueuedCalls_.erase(Call.facts().Call_) > 0)
    policy::removeFromQueue(*Balancer_, Call.facts().Call_);
  LoadQueries_.erase(Call.facts().Call_);
  endCreditWait(Call);
  if (FreshViewWaits_.empty())
    return;
  FreshViewWaits_.erase(std::remove_if(FreshViewWaits_.begin(),
                                       FreshViewWaits_.end(),
                                       [&](const FreshViewWait &Wait) {
                                         return Wait.Id_ == Call.facts().Call_;
                                       }),
                        FreshViewWaits_.end());
}

void HttpWorker::scheduleRelease() {
  if (QueuedCalls_.empty() || ReleaseScheduled_)
    return;
  ReleaseScheduled_ = true;
  boost::asio::post(Io_, [this] {
    ReleaseScheduled_ = false;
    releaseWaiting();
  });
}

void HttpWorker::releaseWaiting() {
  if (QueuedCalls_.empty() || !isFresh())
    return;
  for (const policy::Release &Release :
       policy::releaseWaiting(*Balancer_, now())) {
    const auto Found = QueuedCalls_.find(Release.Call_);
    if (Found == QueuedCalls_.end())
      continue;
    const auto Call = Found->second.lock();
    QueuedCalls_.erase(Found);
    if (Call)
      Call->decide(Release.Decision_);
  }
}

void HttpWorker::checkFreshViewWaits() {
  if (FreshViewWaits_.empty())
    return;
  const model::TimePoint Now = now();
  const bool Fresh = isFresh();
  std::vector<FreshViewWait> Checked;
  Checked.swap(FreshViewWaits_);
  for (const FreshViewWait &Wait : Checked) {
    const auto Call = Wait.Call_.lock();
    if (!Call)
      continue;
    if (Fresh)
      placeAfterWait(Call);
    else if (Now >= Wait.Until_)
      Call->decide({policy::Verdict::Refuse, policy::NoServer,
                    ResultCode::NotRunControlStale});
    else
      FreshViewWaits_.push_back(Wait);
  }
}

void HttpWorker::placeAfterWait(const std::shared_ptr<HttpCall> &Call) {
  if (!renewAdmission(*Call))
    return;
  if (Call->needsCredit())
    requestCredit(Call);
  else
    choose(Call);
}

void HttpWorker::recordAttemptStart(policy::ServerHandle Handle) {
  applyServerEvent(Handle, server(Handle), traffic::ServerCallStarted{});
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  ++Stats_.Attempts_;
}

void HttpWorker::recordAttemptEnd(const policy::CallFacts &Facts,
                                  policy::ServerHandle Handle,
                                  policy::AttemptEnd End,
                                  model::TimePoint Dispatched) {
  const model::TimePoint Now = now();
  policy::endAttempt(*Balancer_, Facts, Handle, End, Now - Dispatched, Now);
  applyServerEvent(Handle, server(Handle), traffic::ServerCallEnded{});
  scheduleRelease();
  if (End != policy::AttemptEnd::Withdrawn)
    return;
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  ++Stats_.Withdrawn_;
}

bool HttpWorker::tryRetry(const HttpCall &Call, policy::AttemptEnd End) {
  if (!policy::tryRetry(*Balancer_, Call.facts(), End, now()))
    return false;
  if (End == policy::AttemptEnd::Withdrawn)
    return true;
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    ++Stats_.Retries_;
  }
  recordEvent(model::EventKind::CallRetried, Call.callId(), ResultCode::Ok,
              "attempt " + std::to_string(Call.facts().Attempts_ + 1));
  return true;
}

std::optional<model::TimePoint>
HttpWorker::hedgeTime(const policy::CallFacts &Facts,
                      model::TimePoint Dispatched) {
  if (!Facts.Route_.Idempotent_)
    return std::nullopt;
  return policy::hedgeTime(*Balancer_, Facts, Dispatched);
}

policy::ServerHandle HttpWorker::hedge(const HttpCall &Call) {
  if (!isFresh())
    return policy::NoServer;
  const auto Chosen = policy::tryHedge(*Balancer_, Call.facts(), now());
  if (!Chosen)
    return policy::NoServer;
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    ++Stats_.Hedges_;
  }
  recordEvent(model::EventKind::CallHedged, Call.callId(), ResultCode::Ok,
              "to " + policy::serverOf(*Balancer_, *Chosen).Name_);
  return *Chosen;
}

// Time.

void HttpWorker::tick() {
  const model::TimePoint Now = now();
  endPauses();
  if (!waitsForFirstView())
    startHeldSessions();
  checkFreshViewWaits();
  checkCreditWaits();
  releaseWaiting();
  sendProbes();
  checkCallerMemory();
  if (Now >= NextUploadCheck_) {
    NextUploadCheck_ = Now + UploadCheckPeriod;
    endStalledUploads();
  }
  if (Now >= NextMaintenance_)
    maintainPools();
  if (Now >= NextPublish_)
    publishStats();
  if (Stop_ && !takesRequests())
    refuseFurtherRequests();
  finishDrainIfDone();
  const bool Busy = !QueuedCalls_.empty() || !FreshViewWaits_.empty();
  TickTimer_.expires_after(Busy ? BusyTickPeriod : limits().TickPeriod_);
  TickTimer_.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    TickWatch_.recordTick(TickTimer_.expiry(), now());
    tick();
  });
}

} // namespace cumingauge::adapters

#include "entryprocess.h"
#include "adapters/adminserver.h"
#include "adapters/log.h"
#include "adapters/metricspage.h"
#include "codec/describedjson.h"
#include "platform/dialect.h"
#include "platform/directoryclient.h"
#include <boost/asio/post.hpp>
#include <set>
#include <xxhash.h>

namespace cumingauge {

namespace {

/// Time without an update of its statistics after which the control thread
/// counts as stuck.
constexpr model::seconds StuckTimeout{10};

model::TimePoint now() { return std::chrono::steady_clock::now(); }

std::size_t countServices(const model::ConfigState &Config) {
  std::set<std::string> Services;
  for (const auto &Entry : Config.Servers_)
    Services.insert(Entry.second.Service_);
  return Services.size();
}

double probeBudget(const model::ConfigState &Config) {
  const model::Preset *Preset = model::presetInForce(Config);
  return Preset ? Preset->Measuring_.ProbesPerSecond_ *
                      static_cast<double>(countServices(Config))
                : 0;
}

adapters::TrafficSettings trafficSettings(const DaemonSettings &Settings) {
  adapters::TrafficSettings Out;
  Out.Listen_ = Settings.Listen_;
  Out.Threads_ = Settings.TrafficThreads_;
  Out.Limits_ = Settings.Http_;
  Out.Zone_ = Settings.Control_.Zone_;
  if (Settings.Platform_)
    Out.Dialect_ = platform::platformDialect();
  const std::string &Name = Settings.Control_.Process_;
  Out.Seed_ =
      XXH64(Name.data(), Name.size(),
            static_cast<std::uint64_t>(now().time_since_epoch().count()));
  return Out;
}

} // namespace

EntryProcess::EntryProcess(boost::asio::io_context &Io,
                           const DaemonSettings &Settings)
    : Io_(Io), Settings_(withPlatformBounds(Settings)),
      Ring_(std::make_shared<adapters::EventRing>(
          Settings.Control_.Process_, Settings.Control_.EventRingSize_)) {}

EntryProcess::Ports EntryProcess::start() {
  adapters::HttpTraffic::Hooks Hooks;
  Hooks.IsFresh_ = [this](model::TimePoint Now) { return isFresh(Now); };
  Hooks.Configuration_ = [this] {
    const auto *Control = StartedControl_.load();
    return Control ? Control->configuration() : model::ConfigurationKnowledge();
  };
  Hooks.ConfigurationSource_ = [this] {
    const auto *Control = StartedControl_.load();
    return Control ? Control->configurationSource() : std::string();
  };
  Hooks.ReportObservation_ = [this](control::ServerObservation Sighting) {
    if (auto *Control = StartedControl_.load())
      Control->recordSighting(std::move(Sighting));
  };
  Hooks.RequestCredit_ = [this](std::uint64_t Request,
                                const std::string &Workspace,
                                model::TimePoint Until) {
    if (auto *Control = StartedControl_.load())
      Control->requestCredit(Request, Workspace, Until);
    else
      Traffic_->applyCredit(Request, {});
  };
  Hooks.Events_ = Ring_->sink();
  Traffic_ = adapters::startTraffic(trafficSettings(Settings_), Hooks);
  startControlThread();
  adapters::AdminHooks Pages;
  Pages.IsHealthy_ = [this] { return isHealthy(); };
  Pages.IsReady_ = [this] { return isReady(); };
  Pages.Metrics_ = [this] { return renderMetricsPage(); };
  Pages.BalancerPage_ = [this] { return renderBalancerPage(); };
  Ports Bound;
  Bound.Listen_ = Traffic_->port();
  Bound.Admin_ = adapters::startAdminServer(Io_, Settings_.Admin_.Host_,
                                            Settings_.Admin_.Port_, Pages);
  return Bound;
}

void EntryProcess::reload(const DaemonSettings &Settings) {
  const DaemonSettings NewSettings = withPlatformBounds(Settings);
  Traffic_->setLimits(NewSettings.Http_);
  codec::Json Before = codec::toJson(Settings_);
  codec::Json After = codec::toJson(NewSettings);
  Before.erase("http");
  After.erase("http");
  codec::Json ChangedPaths = codec::Json::array(); // no values: some are secret
  for (const codec::Json &Difference : codec::Json::diff(Before, After))
    ChangedPaths.push_back(Difference.at("path"));
  adapters::log(adapters::LogLevel::Info, "settings read again",
                {adapters::LogField::json("wantRestart", ChangedPaths.dump())});
}

void EntryProcess::drain(std::function<void()> Done) {
  Stopping_ = true;
  Ring_->record(model::EventKind::ProcessStopping, Settings_.Control_.Process_,
                0, model::ResultCode::Ok, "");
  Traffic_->drain(
      [&Io = Io_, Done = std::move(Done)] { boost::asio::post(Io, Done); });
}

void EntryProcess::stop() {
  if (Control_)
    Control_->stop();
  if (Traffic_)
    Traffic_->stop();
}

void EntryProcess::startControlThread() {
  adapters::ControlRuntime::Hooks Hooks;
  Hooks.OnView_ = [this](std::shared_ptr<const model::ControlView> View) {
    applyView(View);
  };
  Hooks.OnSightings_ =
      [this](const std::vector<control::ServerObservation> &Sightings) {
        Traffic_->applyObservations(Sightings);
      };
  Hooks.OnCredit_ = [this](std::uint64_t Request,
                           const control::CreditDecision &Decision) {
    Traffic_->applyCredit(Request, Decision);
  };
  Hooks.Activity_ = [this] { return Traffic_->activity(); };
  Hooks.IsReady_ = [this] { return isReady(); };
  if (Settings_.Platform_)
    Hooks.MakeDirectory_ = [this](boost::asio::io_context &Io) {
      return platform::makeDirectory(Io, *Settings_.Platform_,
                                     Settings_.Policy_);
    };
  Control_ = adapters::startControl(Settings_.Control_, Hooks, Ring_);
  StartedControl_ = Control_.get();
}

void EntryProcess::applyView(
    const std::shared_ptr<const model::ControlView> &View) {
  {
    const std::lock_guard<std::mutex> Lock(ViewMutex_);
    View_ = View;
  }
  Traffic_->applyView(View);
  if (!model::presetInForce(*View->Config_) || HasPreset_.exchange(true))
    return;
  Ring_->record(model::EventKind::ProcessReady, Settings_.Control_.Process_,
                View->Config_->Version_, model::ResultCode::Ok, "");
}

bool EntryProcess::isFresh(model::TimePoint Now) const {
  const auto *Control = StartedControl_.load();
  return Control && Control->isFresh(Now);
}

bool EntryProcess::isHealthy() const {
  const auto *Control = StartedControl_.load();
  return Control && now() - Control->stats().TakenAt_ < StuckTimeout;
}

bool EntryProcess::isReady() const {
  return !Stopping_ && HasPreset_ && isFresh(now());
}

std::shared_ptr<const model::ControlView> EntryProcess::view() const {
  const std::lock_guard<std::mutex> Lock(ViewMutex_);
  return View_;
}

std::string EntryProcess::renderMetricsPage() const {
  adapters::MetricsInput Input;
  Input.Traffic_ = Traffic_->stats();
  Input.Control_ = Control_->stats();
  Input.Ready_ = isReady();
  if (const auto View = view())
    Input.ProbeBudgetPerSecond_ = probeBudget(*View->Config_);
  Input.ResidentBytes_ = adapters::residentBytes();
  Input.EventsDropped_ = Ring_->dropped();
  Input.LogLinesDropped_ = adapters::logLinesDropped();
  return adapters::renderMetrics(Input);
}

std::string EntryProcess::renderBalancerPage() const {
  const traffic::TrafficStats Stats = Traffic_->stats();
  return codec::Json{{"process", Settings_.Control_.Process_},
                     {"zone", Settings_.Control_.Zone_},
                     {"ready", isReady()},
                     {"stopping", Stopping_.load()},
                     {"callsInFlight", Stats.InFlight_},
                     {"callsQueued", Stats.Queued_},
                     {"callerConnections", Stats.CallerConnections_}}
             .dump() +
         "\n";
}

} // namespace cumingauge

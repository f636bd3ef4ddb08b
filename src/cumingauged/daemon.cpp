#include "daemon.h"
#include "adapters/controlruntime.h"
#include "adapters/eventring.h"
#include "adapters/httptraffic.h"
#include "adapters/log.h"
#include "adapters/programmain.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <random>

namespace cumingauge::daemon {

using adapters::LogLevel;

namespace {

/// The parts of a running entry process.
class Daemon {
public:
  explicit Daemon(const DaemonSettings &Settings)
      : Settings_(Settings), Signals_(Io_, SIGTERM, SIGINT),
        Ring_(std::make_shared<adapters::EventRing>(
            Settings.Control_.Process_, Settings.Control_.EventRingSize_)) {}

  void run() {
    startTraffic();
    startControl();
    Ring_->record(model::EventKind::ProcessStarted, Settings_.Control_.Process_,
                  0, model::ResultCode::Ok, "");
    adapters::log(LogLevel::Info, "started",
                  {{"port", Traffic_->port()},
                   {"trafficThreads", Settings_.TrafficThreads_}});
    Signals_.async_wait([this](boost::system::error_code Error, int) {
      if (!Error)
        beginStop();
    });
    Io_.run();
    Control_->stop();
    Traffic_->stop();
    adapters::log(LogLevel::Info, "stopped");
  }

private:
  void startTraffic() {
    adapters::TrafficSettings Traffic;
    Traffic.Listen_ = Settings_.Listen_;
    Traffic.Threads_ = Settings_.TrafficThreads_;
    Traffic.Limits_ = Settings_.Http_;
    Traffic.Zone_ = Settings_.Control_.Zone_;
    Traffic.Seed_ = std::random_device()();
    adapters::HttpTraffic::Hooks Hooks;
    Hooks.IsFresh_ = [this](model::TimePoint Now) {
      const auto *Control = ControlOnceStarted_.load();
      return Control && Control->isFresh(Now);
    };
    Hooks.NoteSighting_ = [this](control::ServerSighting Sighting) {
      if (auto *Control = ControlOnceStarted_.load())
        Control->noteSighting(std::move(Sighting));
    };
    Hooks.Events_ = Ring_->sink();
    Traffic_ = adapters::startTraffic(Traffic, std::move(Hooks));
  }

  void startControl() {
    adapters::ControlRuntime::Hooks Hooks;
    Hooks.OnView_ = [this](std::shared_ptr<const model::ControlView> View) {
      takeView(std::move(View));
    };
    Hooks.OnSightings_ =
        [this](const std::vector<control::ServerSighting> &Sightings) {
          Traffic_->noteSightings(Sightings);
        };
    Hooks.Activity_ = [this] { return Traffic_->activity(); };
    Hooks.IsReady_ = [this] { return isReady(); };
    Control_ =
        adapters::startControl(Settings_.Control_, std::move(Hooks), Ring_);
    ControlOnceStarted_ = Control_.get();
  }

  void takeView(std::shared_ptr<const model::ControlView> View) {
    const bool HasPreset = model::presetInForce(*View->Config_) != nullptr;
    Traffic_->applyView(std::move(View));
    if (HasPreset && !HasPreset_.exchange(true))
      Ring_->record(model::EventKind::ProcessReady, Settings_.Control_.Process_,
                    0, model::ResultCode::Ok, "");
  }

  bool isReady() const { return HasPreset_ && !Stopping_; }

  void beginStop() {
    Stopping_ = true;
    Ring_->record(model::EventKind::ProcessStopping,
                  Settings_.Control_.Process_, 0, model::ResultCode::Ok, "");
    adapters::log(LogLevel::Info, "stopping");
    Traffic_->drain([this] { boost::asio::post(Io_, [this] { Io_.stop(); }); });
  }

  const DaemonSettings Settings_;
  boost::asio::io_context Io_{1};
  boost::asio::signal_set Signals_;
  std::shared_ptr<adapters::EventRing> Ring_;
  std::shared_ptr<adapters::HttpTraffic> Traffic_;
  std::shared_ptr<adapters::ControlRuntime> Control_;
  std::atomic<adapters::ControlRuntime *> ControlOnceStarted_{nullptr};
  std::atomic<bool> HasPreset_{false};
  std::atomic<bool> Stopping_{false};
};

} // namespace

int runDaemon(const DaemonSettings &Settings) {
  adapters::startLog(Settings.Log_, Settings.Control_.Process_);
  try {
    Daemon(Settings).run();
  } catch (const boost::system::system_error &Error) {
    adapters::log(LogLevel::Error, "cannot start", {{"cause", Error.what()}});
    return adapters::exitStatus(Error.code() ==
                                        boost::system::errc::address_in_use
                                    ? model::ResultCode::AddressInUse
                                    : model::ResultCode::InternalError);
  } catch (const std::exception &Error) {
    adapters::log(LogLevel::Error, "failed", {{"cause", Error.what()}});
    return adapters::exitStatus(model::ResultCode::InternalError);
  }
  return adapters::exitStatus(model::ResultCode::Ok);
}

} // namespace cumingauge::daemon

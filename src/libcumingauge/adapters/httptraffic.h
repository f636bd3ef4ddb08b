#pragma once

#include "adapters/httpsettings.h"
#include "control/peermessage.h"
#include "model/controlview.h"
#include "model/serveractivity.h"
#include "ports/eventsink.h"
#include "traffic/figures.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cumingauge::adapters {

/// The traffic threads of an entry process. All functions are safe from any
/// thread.
class HttpTraffic {
public:
  struct Hooks {
    /// Whether the control view may still be acted on.
    std::function<bool(model::TimePoint)> IsFresh_;
    /// Passes on what a backend server said about itself.
    std::function<void(control::ServerSighting)> ReportObservation_;
    ports::EventSink Events_;
  };

  virtual ~HttpTraffic() = default;

  /// Puts a new view in force on every traffic thread.
  virtual void applyView(std::shared_ptr<const model::ControlView> View) = 0;

  /// Passes reports of other processes to every traffic thread.
  virtual void
  applyObservations(std::vector<control::ServerSighting> Observations) = 0;

  /// Puts other limits in force, for requests that come from now on.
  virtual void setLimits(const HttpLimits &Limits) = 0;

  /// Calls in flight and connections by server, at most some 20 ms old.
  virtual std::vector<model::ServerActivity> activity() const = 0;

  virtual traffic::TrafficFigures figures() const = 0;

  /// Port on which callers are accepted.
  virtual std::uint16_t port() const = 0;

  /// Accepts no new connection, ends idle ones, lets calls in flight end and
  /// then calls \p Done on a traffic thread; at the latest after the drain
  /// timeout.
  virtual void drain(std::function<void()> Done) = 0;

  /// Ends the threads.
  virtual void stop() = 0;
};

/// Starts the traffic threads. Throws boost::system::system_error when the
/// address cannot be bound.
std::shared_ptr<HttpTraffic> startTraffic(const TrafficSettings &Settings,
                                          HttpTraffic::Hooks Hooks);

} // namespace cumingauge::adapters

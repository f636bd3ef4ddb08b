#pragma once

#include "adapters/httpsettings.h"
#include "control/creditdecision.h"
#include "control/peermessage.h"
#include "model/configurationknowledge.h"
#include "model/controlview.h"
#include "model/serveractivity.h"
#include "ports/eventsink.h"
#include "traffic/trafficstats.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// The traffic threads of an entry process. All functions may be called from
/// any thread.
class HttpTraffic {
public:
  struct Hooks {
    /// Whether the control view is recent enough to act on at that time.
    std::function<bool(model::TimePoint)> IsFresh_;
    /// What the process knows about whether its configuration is the newest.
    std::function<model::ConfigurationKnowledge()> Configuration_;
    /// Names who has confirmed that configuration last; may be unset.
    std::function<std::string()> ConfigurationSource_;
    /// Passes a backend server's load report on to the control thread.
    std::function<void(control::ServerObservation)> ReportObservation_;
    /// Requests credit for a call of a workspace with a quota; the answer goes
    /// to applyCredit. The call waits for it until a time. Called on a traffic
    /// thread.
    std::function<void(std::uint64_t Request, const std::string &Workspace,
                       model::TimePoint Until)>
        RequestCredit_;
    ports::EventSink Events_;
  };

  virtual ~HttpTraffic() = default;

  /// Applies a new control view on every traffic thread.
  virtual void applyView(std::shared_ptr<const model::ControlView> View) = 0;

  /// Passes load reports from other processes to every traffic thread.
  virtual void
  applyObservations(std::vector<control::ServerObservation> Observations) = 0;

  /// Passes the answer to a request for credit to the call that waits for it;
  /// without effect once the call has ended.
  virtual void applyCredit(std::uint64_t Request,
                           const control::CreditDecision &Decision) = 0;

  /// Sets the limits for requests that arrive from now on.
  virtual void setLimits(const HttpLimits &Limits) = 0;

  /// Returns the calls in flight and connections of each server, at most about
  /// 20 ms old.
  virtual std::vector<model::ServerActivity> activity() const = 0;

  virtual traffic::TrafficStats stats() const = 0;

  /// Returns the port on which callers connect.
  virtual std::uint16_t port() const = 0;

  /// Stops accepting connections after the drain accept time, closes idle ones
  /// and lets calls in flight end. Then calls \p Done on a traffic thread, at
  /// the latest after the drain timeout.
  virtual void drain(std::function<void()> Done) = 0;

  /// Stops the threads and waits for them to end.
  virtual void stop() = 0;
};

/// Starts the traffic threads.
/// \throws boost::system::system_error when the address cannot be bound.
std::shared_ptr<HttpTraffic> startTraffic(const TrafficSettings &Settings,
                                          HttpTraffic::Hooks Hooks);

} // namespace cumingauge::adapters

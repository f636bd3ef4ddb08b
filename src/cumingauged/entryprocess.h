#pragma once

#include "adapters/controlruntime.h"
#include "adapters/eventring.h"
#include "adapters/httptraffic.h"
#include "daemonsettings.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace cumingauge {

/// Creates, connects and stops the control thread, the traffic threads and the
/// admin port of one entry process.
class EntryProcess : public std::enable_shared_from_this<EntryProcess> {
public:
  struct Ports {
    std::uint16_t Listen_ = 0;
    std::uint16_t Admin_ = 0;
  };

  /// \param Io runs the admin port.
  EntryProcess(boost::asio::io_context &Io, const DaemonSettings &Settings);

  /// Starts all threads and ports.
  /// \returns the bound ports.
  /// \throws boost::system::system_error when an address cannot be bound.
  Ports start();

  /// Applies the settings that can change while the process runs, which are the
  /// HTTP limits. Logs the paths of other changed settings; they need a
  /// restart.
  void reload(const DaemonSettings &Settings);

  /// Makes the process not ready and drains its calls. \p Done runs on the
  /// io_context of the admin port when no call is in flight.
  void drain(std::function<void()> Done);

  /// Announces to the peers that this process leaves, and ends all threads.
  void stop();

private:
  void startControlThread();
  void applyView(const std::shared_ptr<const model::ControlView> &View);
  bool isFresh(model::TimePoint Now) const;
  bool isReady() const;
  bool isHealthy() const;
  std::shared_ptr<const model::ControlView> view() const;
  std::string renderMetricsPage() const;
  std::string renderBalancerPage() const;

  boost::asio::io_context &Io_;
  const DaemonSettings Settings_;
  std::shared_ptr<adapters::EventRing> Ring_;
  std::shared_ptr<adapters::HttpTraffic> Traffic_;
  std::shared_ptr<adapters::ControlRuntime> Control_;
  /// The same pointer for other threads; null until the control thread runs.
  std::atomic<adapters::ControlRuntime *> StartedControl_{nullptr};
  mutable std::mutex ViewMutex_;
  std::shared_ptr<const model::ControlView> View_;
  std::atomic<bool> HasPreset_{false};
  std::atomic<bool> Stopping_{false};
};

} // namespace cumingauge

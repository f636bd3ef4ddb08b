#pragma once

#include "adapters/addresssettings.h"
#include "adapters/eventring.h"
#include "control/core.h"
#include "model/controlview.h"
#include "model/serveractivity.h"
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cumingauge::adapters {

/// Settings of the control side of an entry process.
struct ControlSettings {
  std::string Process_;
  std::string Zone_;
  std::string Region_ = "default";
  AddressSettings Peer_; ///< where peer and operator links are accepted
  AddressSettings Store_;
  std::vector<AddressSettings> SeedPeers_;
  std::string Key_; ///< shared key, proved both ways on every link
  model::milliseconds FreshnessLimit_{2000};
  model::milliseconds HeartbeatPeriod_{500};
  unsigned EventRingSize_ = 4096;
  /// Longest time between two looks at what is due.
  model::milliseconds TickPeriod_{50};
  /// With a directory: a server that leaves gets no new work after this time.
  model::milliseconds LeavingBound_{2000};
  /// Of this VM; processes with fast links are asked first to pass news on.
  double LinkMbps_ = 0;
};
BOOST_DESCRIBE_STRUCT(ControlSettings, (),
                      (Process_, Zone_, Region_, Peer_, Store_, SeedPeers_,
                       Key_, FreshnessLimit_, HeartbeatPeriod_, EventRingSize_,
                       TickPeriod_, LeavingBound_, LinkMbps_))

/// Range checks; empty when valid.
model::Problems checkControlSettings(const ControlSettings &Settings,
                                     const std::string &Path);

/// Calls to the platform's service that have ended, by what was asked and by
/// the name of the result code.
using StoreCallCounts =
    std::map<std::pair<std::string, std::string>, std::uint64_t>;

/// Figures of the control thread for the metrics page.
struct ControlFigures {
  StoreCallCounts StoreCalls_;
  std::uint64_t PeerMessagesSent_ = 0;
  std::uint64_t PeerMessagesReceived_ = 0;
  std::uint64_t PeerBytesSent_ = 0;
  std::uint64_t PeerBytesReceived_ = 0;
  std::uint64_t ThreadCpuMicros_ = 0;
  std::uint64_t Version_ = 0;
  std::uint64_t ViewAgeMs_ = 0;
  unsigned Links_ = 0;
  unsigned FleetSize_ = 0;
  model::TimePoint TakenAt_; ///< by the control thread, twice a second
};

/// Runs the control state of an entry process on a thread of its own: store
/// client, peer links, timers.
class ControlRuntime {
public:
  struct Hooks {
    /// A new view; called on the control thread.
    std::function<void(std::shared_ptr<const model::ControlView>)> OnView_;
    /// Reports of other processes; called on the control thread.
    std::function<void(const std::vector<control::ServerObservation> &)>
        OnSightings_;
    /// Calls in flight by server; called on the control thread.
    std::function<std::vector<model::ServerActivity>()> Activity_;
    std::function<bool()> IsReady_;
    /// Makes the port to a directory on the control thread's io_context; when
    /// set, the configuration comes from there.
    std::function<ports::Directory(boost::asio::io_context &)> MakeDirectory_;
  };

  virtual ~ControlRuntime() = default;

  /// Whether the view may still be acted on: an exchange with a peer or the
  /// store took place within the freshness limit, or the isolation rule of
  /// docs/design/isolation.md holds. Safe from any thread, lock-free.
  virtual bool isFresh(model::TimePoint Now) const = 0;

  /// Passes on what a backend server said. Safe from any thread.
  virtual void noteSighting(control::ServerObservation Sighting) = 0;

  virtual ControlFigures stats() const = 0;

  /// Port that peer and operator links are accepted on.
  virtual std::uint16_t peerPort() const = 0;

  /// Says goodbye to the fleet and joins the thread.
  virtual void stop() = 0;
};

/// Starts the control thread. Throws std::system_error when the peer address
/// cannot be bound.
std::shared_ptr<ControlRuntime>
startControl(const ControlSettings &Settings, ControlRuntime::Hooks Hooks,
             const std::shared_ptr<EventRing> &Ring);

} // namespace cumingauge::adapters

#pragma once

#include "adapters/addresssettings.h"
#include "adapters/eventring.h"
#include "control/core.h"
#include "model/configurationknowledge.h"
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

/// Settings of the control thread of an entry process.
struct ControlSettings {
  std::string Process_;
  std::string Zone_;
  std::string Region_ = "default";
  AddressSettings Peer_; ///< address that accepts peer and operator links
  AddressSettings Store_;
  std::vector<AddressSettings> SeedPeers_;
  std::string Key_; ///< shared key; both sides of every link prove it
  model::milliseconds FreshnessLimit_{2000};
  model::milliseconds HeartbeatPeriod_{500};
  unsigned EventRingSize_ = 4096;
  /// Longest time between two checks of the timers of the control state.
  model::milliseconds TickPeriod_{50};
  /// With a platform directory: time after which a leaving backend server gets
  /// no new calls.
  model::milliseconds LeavingBound_{2000};
  /// Network bandwidth of this VM in Mbit/s. Processes with more bandwidth are
  /// preferred for the relaying of updates.
  double LinkMbps_ = 0;
  /// With a platform directory: whether the whole fleet starts for the first
  /// time, so that its member list is still empty.
  bool FirstStart_ = false;
};
BOOST_DESCRIBE_STRUCT(ControlSettings, (),
                      (Process_, Zone_, Region_, Peer_, Store_, SeedPeers_,
                       Key_, FreshnessLimit_, HeartbeatPeriod_, EventRingSize_,
                       TickPeriod_, LeavingBound_, LinkMbps_, FirstStart_))

/// Checks the ranges of the settings. Returns one problem for each invalid
/// setting, with its path below \p Path; empty when all are valid.
model::Problems checkControlSettings(const ControlSettings &Settings,
                                     const std::string &Path);

/// Number of finished calls to the platform's store or directory, by operation
/// and name of the result code.
using StoreCallCounts =
    std::map<std::pair<std::string, std::string>, std::uint64_t>;

/// Counters and gauges of the control thread for the metrics page.
struct ControlStats {
  StoreCallCounts StoreCalls_;
  std::uint64_t StoreEra_ = 0; ///< 0: unknown
  std::uint64_t EvacuatedZones_ = 0;
  std::uint64_t StoreRestores_ = 0;
  std::uint64_t PeerMessagesSent_ = 0;
  std::uint64_t PeerMessagesReceived_ = 0;
  std::uint64_t PeerBytesSent_ = 0;
  std::uint64_t PeerBytesReceived_ = 0;
  std::uint64_t ThreadCpuMicros_ = 0;
  std::uint64_t Version_ = 0;
  std::uint64_t ViewAgeMs_ = 0;
  unsigned Links_ = 0;
  unsigned FleetSize_ = 0;
  model::TimePoint TakenAt_; ///< set by the control thread every 0.5 s
};

/// Runs the control state of an entry process on its own thread, with the store
/// client, the peer links and the timers.
class ControlRuntime {
public:
  struct Hooks {
    /// Receives each new view; called on the control thread.
    std::function<void(std::shared_ptr<const model::ControlView>)> OnView_;
    /// Receives the server sightings of other processes; called on the control
    /// thread.
    std::function<void(const std::vector<control::ServerObservation> &)>
        OnSightings_;
    /// Receives the answer to a request for credit; called on the control
    /// thread.
    std::function<void(std::uint64_t Request,
                       const control::CreditDecision &Decision)>
        OnCredit_;
    /// Returns the calls in flight for each server; called on the control
    /// thread.
    std::function<std::vector<model::ServerActivity>()> Activity_;
    std::function<bool()> IsReady_;
    /// Creates the client of the platform's directory on the io_context of the
    /// control thread. When set, the configuration is read from that directory.
    std::function<ports::Directory(boost::asio::io_context &)> MakeDirectory_;
  };

  virtual ~ControlRuntime() = default;

  /// Returns whether the current view may still be used for routing: the last
  /// exchange with a peer or the store is within the freshness limit, or the
  /// isolation rule of docs/design/isolation.md holds. Thread-safe, lock-free.
  virtual bool isFresh(model::TimePoint Now) const = 0;

  /// Returns what the process knows about whether its configuration is the
  /// newest one. Thread-safe, lock-free.
  virtual model::ConfigurationKnowledge configuration() const = 0;

  /// Returns who has confirmed the configuration last; see
  /// control::configurationSource. Thread-safe.
  virtual std::string configurationSource() const = 0;

  /// Stores the state that a backend server has reported, to be processed at
  /// the next tick. Thread-safe.
  virtual void recordSighting(control::ServerObservation Sighting) = 0;

  /// Requests credit to start a call of a workspace with a quota. OnCredit_
  /// gets the answer. Thread-safe.
  /// \param Request number of the request, unique in the process.
  /// \param Until when the call stops to wait.
  virtual void requestCredit(std::uint64_t Request, std::string Workspace,
                             model::TimePoint Until) = 0;

  virtual ControlStats stats() const = 0;

  /// Returns the port that accepts peer and operator links.
  virtual std::uint16_t peerPort() const = 0;

  /// Announces to the peers that this process leaves, closes all links and
  /// joins the control thread.
  virtual void stop() = 0;
};

/// Starts the control thread.
/// \throws std::system_error when the peer address cannot be bound.
std::shared_ptr<ControlRuntime>
startControl(const ControlSettings &Settings, ControlRuntime::Hooks Hooks,
             const std::shared_ptr<EventRing> &Ring);

} // namespace cumingauge::adapters

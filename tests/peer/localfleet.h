#pragma once

#include "adapters/controlruntime.h"
#include "localstore.h"
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cumingauge::testing {

constexpr const char *LocalFleetKey = "a key of the whole fleet";

/// Waits until a condition holds. Returns false after 60 s, which is far longer
/// than a slow machine needs.
inline bool waitFor(const std::function<bool()> &Condition) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!Condition() && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  return Condition();
}

/// Control runtime of one entry process, which keeps the last published view.
class LocalProcess {
public:
  LocalProcess(const std::string &Name, std::uint16_t StorePort,
               const std::vector<std::uint16_t> &Seeds)
      : Ring_(std::make_shared<adapters::EventRing>(Name, 1000)) {
    adapters::ControlSettings Settings;
    Settings.Process_ = Name;
    Settings.Zone_ = "zone-a";
    Settings.Key_ = LocalFleetKey;
    Settings.Store_.Port_ = StorePort;
    for (const std::uint16_t Port : Seeds)
      Settings.SeedPeers_.push_back({"127.0.0.1", Port});
    adapters::ControlRuntime::Hooks Hooks;
    Hooks.OnView_ = [this](std::shared_ptr<const model::ControlView> View) {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      View_ = std::move(View);
    };
    Hooks.Activity_ = [this] {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      return Activity_;
    };
    Runtime_ = adapters::startControl(Settings, Hooks, Ring_);
  }

  ~LocalProcess() { Runtime_->stop(); }

  LocalProcess(const LocalProcess &) = delete;
  LocalProcess &operator=(const LocalProcess &) = delete;

  std::uint16_t port() const { return Runtime_->peerPort(); }

  std::shared_ptr<const model::ControlView> view() const {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return View_;
  }

  /// Returns the version of the last view; 0 before the first one.
  std::uint64_t version() const {
    const auto Last = view();
    return Last ? Last->Config_->Version_ : 0;
  }

  void setActivity(std::vector<model::ServerActivity> Activity) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Activity_ = std::move(Activity);
  }

  bool isFresh() const {
    return Runtime_->isFresh(std::chrono::steady_clock::now());
  }

private:
  std::shared_ptr<adapters::EventRing> Ring_;
  mutable std::mutex Mutex_;
  std::shared_ptr<const model::ControlView> View_;
  std::vector<model::ServerActivity> Activity_;
  std::shared_ptr<adapters::ControlRuntime> Runtime_;
};

/// A store and the control runtimes of several entry processes in this process.
struct LocalFleet {
  explicit LocalFleet(unsigned Size) {
    for (unsigned I = 0; I < Size; ++I)
      add("entry-" + std::to_string(I + 1));
  }

  /// Starts a process whose seed peers are all earlier processes.
  LocalProcess &add(const std::string &Name) {
    Processes_.push_back(
        std::make_unique<LocalProcess>(Name, Store_.port(), ports()));
    return *Processes_.back();
  }

  std::vector<std::uint16_t> ports() const {
    std::vector<std::uint16_t> Out;
    for (const auto &Process : Processes_)
      Out.push_back(Process->port());
    return Out;
  }

  /// Waits until every process has this version or a later one; returns false
  /// after the timeout of waitFor.
  bool reaches(std::uint64_t Version) const {
    return waitFor([&] {
      for (const auto &Process : Processes_)
        if (Process->version() < Version)
          return false;
      return true;
    });
  }

  LocalStore Store_;
  std::vector<std::unique_ptr<LocalProcess>> Processes_;
};

} // namespace cumingauge::testing

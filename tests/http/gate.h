#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace cumingauge::test {

/// Blocks threads, such as those of a ScriptedServer, until it is opened.
class Gate {
public:
  void open() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Open_ = true;
    Opened_.notify_all();
  }

  /// Waits until the gate is open.
  /// \returns false if it was not opened within ten seconds.
  bool pass() {
    std::unique_lock<std::mutex> Lock(Mutex_);
    return Opened_.wait_for(Lock, std::chrono::seconds(10),
                            [this] { return Open_; });
  }

private:
  std::mutex Mutex_;
  std::condition_variable Opened_;
  bool Open_ = false;
};

} // namespace cumingauge::test

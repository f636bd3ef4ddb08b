#pragma once

#include "crowd/startedprogram.h"
#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>

namespace cumingauge::test {

/// Samples the resources of a process on a thread of its own, and kills the
/// process when the test hangs.
class ProcessWatch {
public:
  /// Resources of the process, each at its peak.
  struct Peak {
    std::uint64_t MemoryBytes_ = 0; ///< with the unread bytes of that moment
    std::uint64_t UnreadBytes_ = 0; ///< in the sockets of callers
    std::uint64_t Descriptors_ = 0;
  };

  /// \param Port on which the process accepts callers.
  ProcessWatch(const StartedProgram &Program, std::uint16_t Port);
  ~ProcessWatch();

  Peak peak() const;

  /// Waits until the process has taken what it takes of what was sent.
  void waitUntilQuiet();

private:
  void run();
  /// Returns the resources of this moment.
  Peak sample();

  const StartedProgram &Program_;
  const std::uint16_t Port_;
  mutable std::mutex Mutex_; ///< guards Peak_
  Peak Peak_;
  std::atomic<bool> Stopping_{false};
  std::thread Thread_;
};

} // namespace cumingauge::test

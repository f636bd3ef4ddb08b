#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace cumingauge::adapters {

/// Writes lines to a file descriptor without ever waiting for its reader. What
/// the reader does not take is kept up to a limit; further lines are dropped
/// and counted, and a line tells how many once there is room again. Safe from
/// any thread.
class BoundedOutput {
public:
  /// \param Limit bytes kept for a reader that is slow.
  BoundedOutput(int Descriptor, std::size_t Limit);

  /// Adds a line, without its end, and writes when enough has gathered.
  void push(const std::string &Line);

  /// Writes what the reader takes now.
  void flush();

  std::uint64_t dropped() const;

private:
  void flushLocked();
  void reportDropped();

  const int Descriptor_;
  const std::size_t Limit_;
  mutable std::mutex Mutex_;
  std::string Kept_;
  std::uint64_t Dropped_ = 0;
  std::uint64_t Unreported_ = 0;
};

} // namespace cumingauge::adapters

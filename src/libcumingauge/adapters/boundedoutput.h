#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace cumingauge::adapters {

/// Writes lines to a file descriptor without ever blocking on its reader. Lines
/// that the reader has not read yet are buffered up to a limit. Lines above it
/// are dropped and counted, and once there is room again a line reports their
/// number. Thread-safe.
class BoundedOutput {
public:
  /// \param Limit bytes that are buffered at most.
  BoundedOutput(int Descriptor, std::size_t Limit);

  /// Adds a line, given without its newline, and writes once there are enough
  /// bytes for a write.
  void push(const std::string &Line);

  /// Writes as much as the descriptor accepts without blocking.
  void flush();

  /// Returns the number of lines dropped so far.
  std::uint64_t dropped() const;

private:
  void flushLocked();
  void reportDropped();

  const int Descriptor_;
  const std::size_t Limit_;
  mutable std::mutex Mutex_;
  std::string Buffer_;
  std::uint64_t Dropped_ = 0;
  std::uint64_t UnreportedDrops_ = 0; ///< dropped since the last report
};

} // namespace cumingauge::adapters

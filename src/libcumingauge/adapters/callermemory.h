#pragma once

#include <atomic>
#include <cstdint>

namespace cumingauge::adapters {

/// Bytes that the connections of all callers of a process hold together.
class CallerMemory {
public:
  std::uint64_t held() const { return Held_.load(std::memory_order_relaxed); }

private:
  friend class MemoryShare;

  std::atomic<std::uint64_t> Held_{0};
};

/// What one owner adds to the sum, until the share is destroyed.
class MemoryShare {
public:
  explicit MemoryShare(CallerMemory &Sum) : Sum_(Sum) {}
  MemoryShare(const MemoryShare &) = delete;
  MemoryShare &operator=(const MemoryShare &) = delete;
  ~MemoryShare() { set(0); }

  void set(std::uint64_t Bytes) {
    if (Bytes == Bytes_)
      return;
    Sum_.Held_.fetch_add(Bytes - Bytes_, std::memory_order_relaxed);
    Bytes_ = Bytes;
  }

  std::uint64_t bytes() const { return Bytes_; }

private:
  CallerMemory &Sum_;
  std::uint64_t Bytes_ = 0;
};

} // namespace cumingauge::adapters

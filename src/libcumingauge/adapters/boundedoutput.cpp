#include "adapters/boundedoutput.h"
#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace cumingauge::adapters {

namespace {

/// Bytes of one write. A pipe that polls as writable accepts this many bytes
/// without blocking (PIPE_BUF of POSIX, on Linux).
constexpr std::size_t MaxWriteBytes = 4096;
/// Bytes that are reserved for the line that reports dropped lines.
constexpr std::size_t DropReportBytes = 128;

bool isWritable(int Descriptor) {
  pollfd Polled{Descriptor, POLLOUT, 0};
  return ::poll(&Polled, 1, 0) == 1 && (Polled.revents & POLLOUT) != 0;
}

} // namespace

BoundedOutput::BoundedOutput(int Descriptor, std::size_t Limit)
    : Descriptor_(Descriptor), Limit_(Limit) {}

void BoundedOutput::push(const std::string &Line) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Buffer_.size() + Line.size() + DropReportBytes > Limit_) {
    ++Dropped_;
    ++UnreportedDrops_;
    return;
  }
  reportDropped();
  Buffer_.append(Line).push_back('\n');
  if (Buffer_.size() >= MaxWriteBytes)
    flushLocked();
}

void BoundedOutput::flush() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  flushLocked();
}

std::uint64_t BoundedOutput::dropped() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Dropped_;
}

void BoundedOutput::flushLocked() {
  std::size_t Written = 0;
  while (Written < Buffer_.size() && isWritable(Descriptor_)) {
    const auto Count =
        ::write(Descriptor_, Buffer_.data() + Written,
                std::min(MaxWriteBytes, Buffer_.size() - Written));
    if (Count <= 0)
      break; // the reader has closed the pipe or reads nothing now
    Written += static_cast<std::size_t>(Count);
  }
  Buffer_.erase(0, Written);
}

void BoundedOutput::reportDropped() {
  if (UnreportedDrops_ == 0)
    return;
  Buffer_ += R"({"level":"warning","message":"log lines dropped","count":)" +
             std::to_string(UnreportedDrops_) + "}\n";
  UnreportedDrops_ = 0;
}

} // namespace cumingauge::adapters

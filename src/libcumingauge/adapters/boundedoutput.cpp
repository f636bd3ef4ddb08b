#include "adapters/boundedoutput.h"
#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace cumingauge::adapters {

namespace {

/// Bytes of one write. A pipe that polls as writable accepts this many bytes
/// without blocking (PIPE_BUF of POSIX, on Linux).
constexpr std::size_t WriteBytes = 4096;
/// Bytes that are reserved for the line that reports dropped lines.
constexpr std::size_t ReportBytes = 128;

bool isWritable(int Descriptor) {
  pollfd Asked{Descriptor, POLLOUT, 0};
  return ::poll(&Asked, 1, 0) == 1 && (Asked.revents & POLLOUT) != 0;
}

} // namespace

BoundedOutput::BoundedOutput(int Descriptor, std::size_t Limit)
    : Descriptor_(Descriptor), Limit_(Limit) {}

void BoundedOutput::push(const std::string &Line) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Kept_.size() + Line.size() + ReportBytes > Limit_) {
    ++Dropped_;
    ++Unreported_;
    return;
  }
  reportDropped();
  Kept_.append(Line).push_back('\n');
  if (Kept_.size() >= WriteBytes)
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
  while (Written < Kept_.size() && isWritable(Descriptor_)) {
    const auto Count = ::write(Descriptor_, Kept_.data() + Written,
                               std::min(WriteBytes, Kept_.size() - Written));
    if (Count <= 0)
      break; // the reader has closed the pipe or reads nothing now
    Written += static_cast<std::size_t>(Count);
  }
  Kept_.erase(0, Written);
}

void BoundedOutput::reportDropped() {
  if (Unreported_ == 0)
    return;
  Kept_ += R"({"level":"warning","message":"log lines dropped","count":)" +
           std::to_string(Unreported_) + "}\n";
  Unreported_ = 0;
}

} // namespace cumingauge::adapters

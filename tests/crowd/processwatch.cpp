#include "crowd/processwatch.h"
#include "model/time.h"
#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <fstream>

namespace cumingauge::test {

namespace {

namespace fs = std::filesystem;

constexpr model::milliseconds SamplePeriod{20};
/// Far longer than any test of the area takes.
constexpr std::chrono::seconds HangLimit{60};
constexpr std::uint64_t KilobyteBytes = 1024;

/// Returns the peak of the resident memory of a process.
std::uint64_t peakMemoryBytes(const fs::path &Process) {
  std::ifstream In(Process / "status");
  std::uint64_t Kilobytes = 0;
  for (std::string Line; std::getline(In, Line);)
    if (std::sscanf(Line.c_str(), "VmHWM: %" SCNu64, &Kilobytes) == 1)
      break;
  return Kilobytes * KilobyteBytes;
}

/// Returns the bytes that lie unread in the sockets of a local port.
std::uint64_t unreadBytes(std::uint16_t Port) {
  constexpr unsigned ListenState = 10; // its queue counts connections
  std::ifstream In("/proc/net/tcp");
  std::uint64_t Out = 0;
  for (std::string Line; std::getline(In, Line);) {
    unsigned LocalPort = 0;
    unsigned State = 0;
    std::uint64_t Unread = 0;
    if (std::sscanf(Line.c_str(), "%*d: %*x:%x %*x:%*x %x %*x:%" SCNx64,
                    &LocalPort, &State, &Unread) == 3 &&
        LocalPort == Port && State != ListenState)
      Out += Unread;
  }
  return Out;
}

} // namespace

ProcessWatch::ProcessWatch(const StartedProgram &Program, std::uint16_t Port)
    : Program_(Program), Port_(Port), Thread_([this] { run(); }) {}

ProcessWatch::~ProcessWatch() {
  Stopping_ = true;
  Thread_.join();
}

ProcessWatch::Peak ProcessWatch::peak() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Peak_;
}

void ProcessWatch::waitUntilQuiet() {
  constexpr int MaxTries = 100;
  constexpr int QuietSamples = 10;
  Peak Last;
  for (int Try = 0, Same = 0; Try < MaxTries && Same < QuietSamples; ++Try) {
    const Peak Now = sample();
    const bool IsSame = Now.MemoryBytes_ == Last.MemoryBytes_ &&
                        Now.UnreadBytes_ == Last.UnreadBytes_;
    Same = IsSame ? Same + 1 : 0;
    Last = Now;
    std::this_thread::sleep_for(SamplePeriod);
  }
}

void ProcessWatch::run() {
  const auto End = std::chrono::steady_clock::now() + HangLimit;
  while (!Stopping_ && std::chrono::steady_clock::now() < End) {
    sample();
    std::this_thread::sleep_for(SamplePeriod);
  }
  if (!Stopping_)
    Program_.killNow();
}

ProcessWatch::Peak ProcessWatch::sample() {
  Peak Now;
  Now.UnreadBytes_ = unreadBytes(Port_);
  Now.MemoryBytes_ = peakMemoryBytes(Program_.folder()) + Now.UnreadBytes_;
  std::error_code Ended;
  Now.Descriptors_ = static_cast<std::uint64_t>(std::distance(
      fs::directory_iterator(Program_.folder() / "fd", Ended), {}));
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Peak_.UnreadBytes_ = std::max(Peak_.UnreadBytes_, Now.UnreadBytes_);
  Peak_.MemoryBytes_ = std::max(Peak_.MemoryBytes_, Now.MemoryBytes_);
  Peak_.Descriptors_ = std::max(Peak_.Descriptors_, Now.Descriptors_);
  return Now;
}

} // namespace cumingauge::test

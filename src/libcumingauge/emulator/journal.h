#pragma once

#include "emulator/describe.h"
#include <cstdint>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace cumingauge::emulator {

/// How a call ended at a backend server.
enum class RunEnd {
  Running,
  Whole,     ///< completely answered
  Failed,    ///< answered 500
  CutShort,  ///< its answer was truncated on purpose
  Cancelled, ///< the caller closed the connection
  Deadline,  ///< stopped at its deadline
  CutOff,    ///< interrupted by a graceful stop of the server
  Killed     ///< interrupted when the server was killed
};
BOOST_DESCRIBE_ENUM(RunEnd, Running, Whole, Failed, CutShort, Cancelled,
                    Deadline, CutOff, Killed)

/// A call that began to run at a backend server. Times are wall clock
/// microseconds since 1970.
struct JournalEntry {
  std::uint64_t Sequence_ = 0; ///< within the server, from 1
  std::string Server_;
  std::string Call_;
  std::string Attempt_;
  std::string Path_;
  std::uint64_t StartUs_ = 0;
  std::uint64_t EndUs_ = 0;
  RunEnd End_ = RunEnd::Running;
};
BOOST_DESCRIBE_STRUCT(JournalEntry, (),
                      (Sequence_, Server_, Call_, Attempt_, Path_, StartUs_,
                       EndUs_, End_))

/// File to which journals are also written, so that they survive when the
/// process is killed. Safe from any thread.
class JournalFile {
public:
  explicit JournalFile(const std::string &Path);
  void write(const JournalEntry &Entry);

private:
  std::mutex Mutex_;
  std::ofstream Out_;
};

/// Record of the calls that a server ran. Drops the oldest entry when it is
/// full. Not thread-safe.
class Journal {
public:
  Journal(std::string Server, std::size_t Capacity,
          std::shared_ptr<JournalFile> File);

  /// Records that a call has started and returns its sequence number.
  std::uint64_t begin(std::string Call, std::string Attempt, std::string Path);
  /// Records how a call ended. Does nothing when its entry has been dropped.
  void end(std::uint64_t Sequence, RunEnd End);

  /// Returns at most \p Limit entries after a sequence number, oldest first, as
  /// one JSON object per line.
  std::string lines(std::uint64_t After, std::size_t Limit) const;

  std::uint64_t started() const { return Next_ - 1; }
  std::uint64_t dropped() const { return Dropped_; }

private:
  const std::string Server_;
  const std::size_t Capacity_;
  const std::shared_ptr<JournalFile> File_;
  std::deque<JournalEntry> Entries_;
  std::uint64_t Next_ = 1;
  std::uint64_t Dropped_ = 0;
};

} // namespace cumingauge::emulator

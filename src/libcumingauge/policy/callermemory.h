#pragma once

#include "model/describe.h"
#include "model/time.h"
#include <cstddef>
#include <cstdint>
#include <vector>

/// Bounds what the connections of all callers of a process hold together, and
/// decides which of them are evicted.
namespace cumingauge::policy {

/// Marks of the sum over all connections of callers, in bytes.
struct CallerMemoryMarks {
  std::uint64_t Pipelining_ = 0; ///< above, no call starts before its turn
  std::uint64_t Relieved_ = 0;   ///< to which the sum falls when it is relieved
  std::uint64_t Bound_ = 0;      ///< above, connections are evicted
  std::uint64_t Full_ = 0;       ///< above, every further request is refused
};
BOOST_DESCRIBE_STRUCT(CallerMemoryMarks, (),
                      (Pipelining_, Relieved_, Bound_, Full_))

/// Derives the marks from the memory that the process may take.
CallerMemoryMarks callerMemoryMarks(unsigned MemoryMb);

/// What a connection of a caller waits for.
enum class CallerUse {
  Idle,       ///< for a request
  Unfinished, ///< for the rest of a request that no server has seen
  Unread,     ///< for the caller to read an answer
  Upload,     ///< for the rest of a request that is passed on meanwhile
  Running,    ///< for a server
  Closing,    ///< for the caller to close it
};
BOOST_DESCRIBE_ENUM(CallerUse, Idle, Unfinished, Unread, Upload, Running,
                    Closing)

/// One connection of a caller.
struct CallerHolding {
  CallerUse Use_ = CallerUse::Idle;
  std::uint64_t Bytes_ = 0;
  model::Duration Since_{0}; ///< how long it has waited
};
BOOST_DESCRIBE_STRUCT(CallerHolding, (), (Use_, Bytes_, Since_))

/// Whether a pipelined call may start before its turn.
bool canStartPipelinedCall(const CallerMemoryMarks &Marks, std::uint64_t Held);

/// Whether a request whose head has arrived may go on.
bool canTakeRequest(const CallerMemoryMarks &Marks, std::uint64_t Held);

/// Chooses the connections to evict so that the sum falls to the relieved
/// mark. Requests that no server has seen come first, as their refusal is
/// certain to be true; then answers that are not read, then uploads. Among
/// these, the one goes first that has held most for longest. Running calls
/// are evicted only above the full mark, and only down to it.
/// \param Held sum over all connections of the process.
/// \returns indices into \p Holdings; empty up to the bound.
std::vector<std::size_t>
chooseEvictions(const CallerMemoryMarks &Marks, std::uint64_t Held,
                const std::vector<CallerHolding> &Holdings);

} // namespace cumingauge::policy

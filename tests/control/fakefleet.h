#pragma once

#include "control/changewriter.h"
#include "control/core.h"
#include "fakestore.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cumingauge::fakes {

using model::TimePoint;

/// Fixed delays of the fake network, and the port of the first process.
constexpr model::milliseconds StoreLatency{3};
constexpr model::milliseconds LostAnswerTimeout{1000};
constexpr std::uint16_t FirstPort = 7000;

/// One process of the fake fleet; Core_ is null while it is down.
struct FakeProcess {
  control::CoreSettings Settings_;
  std::shared_ptr<control::CoreState> Core_;
  unsigned Generation_ = 0;
  bool IsPaused_ = false;
  bool HasStore_ = true;
  /// Network partition; processes reach those in the same one.
  unsigned Partition_ = 0;
  /// Inputs received while paused.
  std::vector<control::CoreInput> PendingInputs_;
  std::shared_ptr<const model::ControlView> View_;
  std::vector<control::RecordEvent> Events_;
  TimePoint LastDisturbedAt_;
  /// Last time at which the process was in a partition without the store, or
  /// had just left one.
  TimePoint CutOffAt_;
};

/// A change that an operator wrote, and its outcome.
struct FakeWrite {
  control::WriteRequest Request_;
  control::WriteOutcome Outcome_;
  bool IsDone_ = false;
};

/// Probabilities, in percent, of faults of a message or a store call.
struct Faults {
  unsigned DropMessage_ = 0;
  unsigned RepeatMessage_ = 0;
  unsigned DelayMessage_ = 0;
  unsigned LoseAnswer_ = 0; ///< executed, but the answer is lost
  /// Reported as timed out, but executed seconds later.
  unsigned ApplyLate_ = 0;
  unsigned RefuseCall_ = 0; ///< refused and not executed
};

/// Control cores of several processes with a fake clock, store and network.
/// Every violation of a guarantee is added to Violations_.
class FakeFleet {
public:
  FakeFleet(unsigned Processes, std::uint64_t Seed);

  void start(unsigned Index);
  void kill(unsigned Index);
  void pause(unsigned Index);
  void resume(unsigned Index);
  void stop(unsigned Index);
  void run(model::Duration Time);
  /// Runs an action once the simulated time has advanced by \p Delay.
  void runAfter(model::Duration Delay, std::function<void()> Action);

  /// Writes a change as an operator.
  /// \param HandOver whether accepted entries are also sent to a process.
  std::size_t write(model::ChangeAction Action, const std::string &Author,
                    bool HandOver = false, bool Confirmed = false);

  /// Records that a process was disturbed by more than lost messages and calls.
  void disturb(unsigned Index);
  void disturbAll();
  void feed(unsigned Index, const control::CoreInput &Input);
  std::uint64_t version(unsigned Index) const;
  bool mayDispatch(unsigned Index) const;

  TimePoint Now_{std::chrono::hours(1)};
  FakeStore Store_;
  bool IsStoreUp_ = true;
  Faults Faults_;
  control::FreshnessLimits Freshness_;
  std::vector<FakeProcess> Processes_;
  std::vector<FakeWrite> Writes_;
  std::vector<std::string> Violations_;
  std::vector<std::string> Trace_; ///< events, views and outcomes of writes
  std::uint64_t Messages_ = 0;
  /// Checks of a version on a process that was not disturbed.
  std::uint64_t InForceChecks_ = 0;
  /// Checks of dispatch after the bound of a leaving mark.
  std::uint64_t DispatchChecks_ = 0;
  std::uint64_t StoreCalls_ = 0;

private:
  struct Scheduled {
    TimePoint At_;
    std::uint64_t Order_ = 0;
    std::function<void()> Action_;
  };
  struct Later {
    bool operator()(const Scheduled &Left, const Scheduled &Right) const;
  };
  /// One end of a link between two processes.
  struct LinkEnd {
    unsigned Process_ = 0;
    unsigned Generation_ = 0;
    control::LinkId Other_ = 0;
  };
  struct Watch {
    std::string Key_;
    unsigned Process_ = 0;
    unsigned Generation_ = 0;
    control::StoreCallId Call_ = 0;
  };

  void tick(unsigned Index, unsigned Generation);
  void execute(unsigned Index, const control::CoreCommand &Command);
  void recordEvent(unsigned Index, const control::RecordEvent &Event);
  void trace(const std::string &Line);
  std::string timeText() const;
  void callStore(unsigned Index, const control::CallStore &Command);
  void respondFromStore(unsigned Index, unsigned Generation,
                        control::StoreCallId Call,
                        const ports::StoreResponse &Answer);
  void startWatch(unsigned Index, unsigned Generation,
                  const control::CallStore &Command);
  void answerWatches(const std::string &Key);
  void openLink(unsigned Index, const control::OpenLink &Command);
  void closeLink(unsigned Index, control::LinkId Id);
  void sendPeer(unsigned Index, const control::SendPeer &Command);
  void checkView(unsigned Index,
                 const std::shared_ptr<const model::ControlView> &View);
  void continueWrite(std::size_t Index,
                     const std::shared_ptr<control::ChangeWriter> &Writer,
                     bool HandOver);
  void callAsOperator(
      const ports::StoreRequest &Request,
      const std::function<void(const ports::StoreResponse &)> &Answer);
  void handOver(const model::Change &Entry);
  void recordCommit(const model::Change &Entry);
  void checkDispatch(unsigned Index);
  bool isInPartitionWithoutStore(unsigned Index) const;
  bool chance(unsigned Percent);
  bool areConnected(unsigned Left, unsigned Right) const;
  bool reachesStore(unsigned Index) const;
  void checkInForce(std::uint64_t Version, TimePoint AcceptedAt);
  void reportViolation(const std::string &What);

  struct Mark {
    std::uint64_t Version_ = 0;
    TimePoint At_;
  };

  pcg32 Random_;
  std::priority_queue<Scheduled, std::vector<Scheduled>, Later> Queue_;
  std::uint64_t LastOrder_ = 0;
  std::map<control::LinkId, LinkEnd> Links_;
  control::LinkId LastLink_ = 0;
  std::vector<Watch> Watches_;
  std::map<std::uint64_t, std::shared_ptr<const model::ConfigState>> States_;
  std::map<std::string, Mark> Marks_; ///< leaving marks in force by server name
};

} // namespace cumingauge::fakes

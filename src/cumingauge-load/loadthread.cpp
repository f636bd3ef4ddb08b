#include "loadthread.h"
#include "callerconnection.h"
#include "emulator/schedule.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace cumingauge::load {

namespace asio = boost::asio;
using emulator::CallOutcome;
using emulator::OutcomeKind;
using emulator::PlannedCall;
using ConnectionPtr = std::shared_ptr<CallerConnection>;
using CallPtr = std::shared_ptr<ActiveCall>;

namespace {

model::TimePoint now() { return std::chrono::steady_clock::now(); }

/// Sends one thread's share of the calls at their scheduled times, whether or
/// not earlier calls have ended (open loop).
class LoadThread {
public:
  LoadThread(const emulator::LoadPlan &Plan, std::string Run, unsigned Thread,
             model::TimePoint Start, EntryTable &Entries)
      : Plan_(Plan), Run_(std::move(Run)), Thread_(Thread), Start_(Start),
        Entries_(Entries), Timer_(Context_),
        Schedule_(emulator::makeSchedule(Plan, Thread)), Idle_(Entries.size()),
        Cursor_(Thread) {
    Hooks_.OnIdle_ = [this](const ConnectionPtr &C) {
      Idle_[C->entry()].push_back(C);
    };
    Hooks_.OnClosed_ = [this](const ConnectionPtr &C) {
      auto &Pool = Idle_[C->entry()];
      Pool.erase(std::remove(Pool.begin(), Pool.end(), C), Pool.end());
    };
    Hooks_.OnStrayBytes_ = [this](std::size_t Bytes) {
      Report_.StrayBytes_ += Bytes;
    };
  }

  ThreadReport run() {
    Next_ = emulator::nextCall(Schedule_);
    armTimer();
    Context_.run();
    return std::move(Report_);
  }

private:
  void armTimer() {
    if (!Next_)
      return closeWhenDone();
    Timer_.expires_at(Start_ + Next_->At_);
    Timer_.async_wait([this](auto Error) {
      if (!Error)
        startDueCalls();
    });
  }

  void startDueCalls() {
    while (Next_ && Start_ + Next_->At_ <= now()) {
      startCall(*Next_);
      Next_ = emulator::nextCall(Schedule_);
    }
    armTimer();
  }

  void startCall(const PlannedCall &Planned) {
    CallOutcome Outcome;
    Outcome.Route_ = Planned.Route_;
    Outcome.At_ = Planned.At_;
    Report_.LateStarts_.push_back(now() - Start_ - Planned.At_);
    const auto Call = std::make_shared<ActiveCall>();
    Call->Index_ = Report_.Outcomes_.size();
    Report_.Outcomes_.push_back(Outcome);
    Call->Call_ = callName(Run_, Thread_, Call->Index_);
    Call->Caller_ = "caller-" + std::to_string(Planned.Caller_);
    Call->Route_ = &Plan_.Routes_[Planned.Route_];
    Call->Cancels_ = Planned.Cancels_;
    Call->Deadline_ = now() + (Planned.Cancels_ ? Call->Route_->CancelAfter_
                                                : Call->Route_->Deadline_ +
                                                      Plan_.GiveUpAfter_);
    ++Active_;
    assignEntry(Call);
  }

  /// Sends a call on an idle or a new connection to the next usable entry.
  void assignEntry(const CallPtr &Call) {
    const auto Entry = Entries_.nextUsable(Cursor_, now());
    if (!Entry || Call->ConnectTries_ > Entries_.size())
      return end(Call, {OutcomeKind::NotSent, -1, false, false});
    Report_.Outcomes_[Call->Index_].Entry_ = *Entry;
    auto &Pool = Idle_[*Entry];
    while (!Pool.empty()) {
      const ConnectionPtr Reused = Pool.back();
      Pool.pop_back();
      if (Reused->isUsable())
        return send(Reused, Call);
      Reused->close();
    }
    openConnection(*Entry, Call);
  }

  void openConnection(std::uint32_t Entry, const CallPtr &Call) {
    const auto New =
        std::make_shared<CallerConnection>(Context_, Entry, Hooks_);
    New->connect(Entries_.address(Entry), Call->Deadline_,
                 [this, New, Call, Entry](bool Connected) {
                   if (Connected)
                     return send(New, Call);
                   Entries_.recordRefusedConnection(Entry, now());
                   ++Call->ConnectTries_;
                   assignEntry(Call);
                 });
  }

  void send(const ConnectionPtr &Connection, const CallPtr &Call) {
    Connection->send(Call, [this, Call](const ExchangeResult &Result) {
      end(Call, Result);
    });
  }

  void end(const CallPtr &Call, const ExchangeResult &Result) {
    CallOutcome &Outcome = Report_.Outcomes_[Call->Index_];
    Outcome.Latency_ = now() - Start_ - Outcome.At_;
    Outcome.Kind_ = Result.Kind_;
    Outcome.Code_ = Result.Code_;
    Outcome.Foreign_ = Result.Foreign_;
    Outcome.WrongLength_ = Result.WrongLength_;
    --Active_;
    closeWhenDone();
  }

  /// Closes the idle connections once all calls have ended, so that run()
  /// returns.
  void closeWhenDone() {
    if (Next_ || Active_ > 0)
      return;
    for (const auto &Pool : std::vector<std::vector<ConnectionPtr>>(Idle_))
      for (const ConnectionPtr &Connection : Pool)
        Connection->close();
  }

  const emulator::LoadPlan &Plan_;
  const std::string Run_;
  const unsigned Thread_;
  const model::TimePoint Start_;
  EntryTable &Entries_;
  asio::io_context Context_{1};
  asio::steady_timer Timer_;
  emulator::Schedule Schedule_;
  std::optional<PlannedCall> Next_;
  std::vector<std::vector<ConnectionPtr>> Idle_; ///< idle connections by entry
  CallerConnection::Hooks Hooks_;
  std::uint32_t Cursor_;   ///< entry that was used last
  std::size_t Active_ = 0; ///< calls in flight
  ThreadReport Report_;
};

} // namespace

std::string callName(const std::string &Run, unsigned Thread,
                     std::size_t Index) {
  return Run + "-" + std::to_string(Thread) + "-" + std::to_string(Index);
}

ThreadReport runLoadThread(const emulator::LoadPlan &Plan,
                           const std::string &Run, unsigned Thread,
                           model::TimePoint Start, EntryTable &Entries) {
  return LoadThread(Plan, Run, Thread, Start, Entries).run();
}

} // namespace cumingauge::load

#include "emulator/slots.h"
#include <algorithm>
#include <cmath>

namespace cumingauge::emulator {

namespace {

/// Samples are kept for the lag of the reports and this time.
constexpr model::milliseconds MinHistory{100};

void recordSample(Slots &State, const Behaviour &Config, model::TimePoint Now) {
  State.History_.push_back(
      {Now, State.Running_, static_cast<unsigned>(State.Waiting_.size())});
  const model::TimePoint Oldest = Now - Config.ReportLag_ - MinHistory;
  // The last sample before Oldest is kept, as it holds the state at that time.
  while (State.History_.size() > 1 && State.History_[1].At_ <= Oldest)
    State.History_.pop_front();
}

unsigned applyReportFactor(unsigned Figure, double Factor) {
  return static_cast<unsigned>(std::lround(Figure * Factor));
}

} // namespace

Admission admitWork(Slots &State, const Behaviour &Config, WorkId Work,
                    model::TimePoint Now) {
  if (Config.Draining_)
    return Admission::Draining;
  if (Config.ColdRefuses_ && Now - State.Started_ < Config.ColdFor_)
    return Admission::Cold;
  if (State.Running_ < Config.Slots_) {
    ++State.Running_;
    recordSample(State, Config, Now);
    return Admission::Started;
  }
  if (State.Waiting_.size() >= Config.MaxQueued_)
    return Admission::Shed;
  State.Waiting_.push_back(Work);
  recordSample(State, Config, Now);
  return Admission::Queued;
}

std::optional<WorkId> endWork(Slots &State, const Behaviour &Config,
                              model::TimePoint Now) {
  std::optional<WorkId> Next;
  --State.Running_;
  if (!State.Waiting_.empty() && State.Running_ < Config.Slots_) {
    Next = State.Waiting_.front();
    State.Waiting_.pop_front();
    ++State.Running_;
  }
  recordSample(State, Config, Now);
  return Next;
}

bool removeWaitingWork(Slots &State, WorkId Work, model::TimePoint Now) {
  const auto Found =
      std::find(State.Waiting_.begin(), State.Waiting_.end(), Work);
  if (Found == State.Waiting_.end())
    return false;
  State.Waiting_.erase(Found);
  State.History_.push_back(
      {Now, State.Running_, static_cast<unsigned>(State.Waiting_.size())});
  return true;
}

model::LoadReport reportLoad(const Slots &State, const Behaviour &Config,
                             model::TimePoint Now) {
  model::LoadReport Out;
  const model::TimePoint ReportedTime = Now - Config.ReportLag_;
  for (const LoadSample &Sample : State.History_) {
    if (Sample.At_ > ReportedTime)
      break;
    Out.InFlight_ = applyReportFactor(Sample.Running_, Config.ReportFactor_);
    Out.Queued_ = applyReportFactor(Sample.Waiting_, Config.ReportFactor_);
  }
  Out.Slots_ = Config.Slots_;
  Out.Age_ =
      Config.ReportTellsAge_ ? Config.ReportLag_ : model::milliseconds(0);
  Out.Draining_ = Config.Draining_;
  Out.Cold_ = Now - State.Started_ < Config.ColdFor_;
  return Out;
}

} // namespace cumingauge::emulator

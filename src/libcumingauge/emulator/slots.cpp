#include "emulator/slots.h"
#include <algorithm>
#include <cmath>

namespace cumingauge::emulator {

namespace {

constexpr model::milliseconds MinHistory{100};

void noteSample(Slots &State, const Behaviour &Rules, model::TimePoint Now) {
  State.History_.push_back(
      {Now, State.Running_, static_cast<unsigned>(State.Waiting_.size())});
  const model::TimePoint Oldest = Now - Rules.ReportLag_ - MinHistory;
  // The last sample before the horizon still tells the figures at it.
  while (State.History_.size() > 1 && State.History_[1].At_ <= Oldest)
    State.History_.pop_front();
}

unsigned distort(unsigned Figure, double Factor) {
  return static_cast<unsigned>(std::lround(Figure * Factor));
}

} // namespace

Arrival admitWork(Slots &State, const Behaviour &Rules, WorkId Work,
                  model::TimePoint Now) {
  if (Rules.Draining_)
    return Arrival::Draining;
  if (Rules.ColdRefuses_ && Now - State.Started_ < Rules.ColdFor_)
    return Arrival::Cold;
  if (State.Running_ < Rules.Slots_) {
    ++State.Running_;
    noteSample(State, Rules, Now);
    return Arrival::Runs;
  }
  if (State.Waiting_.size() >= Rules.MaxQueued_)
    return Arrival::Shed;
  State.Waiting_.push_back(Work);
  noteSample(State, Rules, Now);
  return Arrival::Waits;
}

std::optional<WorkId> endWork(Slots &State, const Behaviour &Rules,
                              model::TimePoint Now) {
  std::optional<WorkId> Next;
  --State.Running_;
  if (!State.Waiting_.empty() && State.Running_ < Rules.Slots_) {
    Next = State.Waiting_.front();
    State.Waiting_.pop_front();
    ++State.Running_;
  }
  noteSample(State, Rules, Now);
  return Next;
}

bool forgetWork(Slots &State, WorkId Work, model::TimePoint Now) {
  const auto Found =
      std::find(State.Waiting_.begin(), State.Waiting_.end(), Work);
  if (Found == State.Waiting_.end())
    return false;
  State.Waiting_.erase(Found);
  State.History_.push_back(
      {Now, State.Running_, static_cast<unsigned>(State.Waiting_.size())});
  return true;
}

model::LoadReport reportLoad(const Slots &State, const Behaviour &Rules,
                             model::TimePoint Now) {
  model::LoadReport Out;
  const model::TimePoint Seen = Now - Rules.ReportLag_;
  for (const LoadSample &Sample : State.History_) {
    if (Sample.At_ > Seen)
      break;
    Out.InFlight_ = distort(Sample.Running_, Rules.ReportFactor_);
    Out.Queued_ = distort(Sample.Waiting_, Rules.ReportFactor_);
  }
  Out.Slots_ = Rules.Slots_;
  Out.Age_ = Rules.ReportTellsAge_ ? Rules.ReportLag_ : model::milliseconds(0);
  Out.Draining_ = Rules.Draining_;
  Out.Cold_ = Now - State.Started_ < Rules.ColdFor_;
  return Out;
}

} // namespace cumingauge::emulator

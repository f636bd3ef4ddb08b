#include "policy/admissionqueue.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Relative share of the calls served by class while all classes have calls
/// waiting.
constexpr std::array<double, PriorityClasses> Weights = {16, 4, 1};

/// Returns the smallest virtual time of the classes that have calls waiting.
double minVirtualTime(const AdmissionQueue &Queue) {
  double MinTime = 0;
  bool Found = false;
  for (const PriorityClass &Class : Queue.Classes_) {
    if (Class.Size_ == 0)
      continue;
    MinTime =
        Found ? std::min(MinTime, Class.VirtualTime_) : Class.VirtualTime_;
    Found = true;
  }
  return MinTime;
}

/// Erases a caller's queue from its class when it has no calls.
void eraseIfEmpty(PriorityClass &Class,
                  std::list<CallerQueue>::iterator SubQueue) {
  if (!SubQueue->Calls_.empty())
    return;
  Class.ByCaller_.erase(SubQueue->Caller_);
  Class.CallerQueues_.erase(SubQueue);
}

/// Removes and returns the call at \p Position.
CallFacts takeAt(AdmissionQueue &Queue, PriorityClass &Class,
                 std::list<CallerQueue>::iterator SubQueue,
                 const std::deque<CallFacts>::iterator &Position) {
  CallFacts Call = std::move(*Position);
  SubQueue->Calls_.erase(Position);
  --Class.Size_;
  Queue.ClassOfCall_.erase(Call.Call_);
  eraseIfEmpty(Class, SubQueue);
  return Call;
}

} // namespace

unsigned classOf(const CallFacts &Call) {
  return static_cast<unsigned>(Call.Route_.Priority_);
}

unsigned sizeOf(const AdmissionQueue &Queue) {
  unsigned Size = 0;
  for (const PriorityClass &Class : Queue.Classes_)
    Size += Class.Size_;
  return Size;
}

unsigned queuedBy(const AdmissionQueue &Queue, const std::string &Caller) {
  std::size_t Count = 0;
  for (const PriorityClass &Class : Queue.Classes_) {
    const auto SubQueue = Class.ByCaller_.find(Caller);
    if (SubQueue != Class.ByCaller_.end())
      Count += SubQueue->second->Calls_.size();
  }
  return static_cast<unsigned>(Count);
}

double callsAhead(const AdmissionQueue &Queue, const CallFacts &Call) {
  const unsigned Own = classOf(Call);
  double Ahead = 0;
  for (unsigned Higher = 0; Higher < Own; ++Higher)
    Ahead += Queue.Classes_[Higher].Size_;
  const PriorityClass &Class = Queue.Classes_[Own];
  const auto SubQueue = Class.ByCaller_.find(Call.Caller_);
  const std::size_t InSubQueue =
      SubQueue == Class.ByCaller_.end() ? 0 : SubQueue->second->Calls_.size();
  const std::size_t Turns = (InSubQueue + 1) * Class.CallerQueues_.size();
  return Ahead + static_cast<double>(std::min<std::size_t>(Class.Size_, Turns));
}

void push(AdmissionQueue &Queue, const CallFacts &Call) {
  const unsigned Index = classOf(Call);
  PriorityClass &Class = Queue.Classes_[Index];
  if (Class.Size_ == 0)
    Class.VirtualTime_ = std::max(Class.VirtualTime_, minVirtualTime(Queue));
  auto SubQueue = Class.ByCaller_.find(Call.Caller_);
  if (SubQueue == Class.ByCaller_.end()) {
    Class.CallerQueues_.push_back({Call.Caller_, {}});
    SubQueue = Class.ByCaller_
                   .emplace(Call.Caller_, std::prev(Class.CallerQueues_.end()))
                   .first;
  }
  std::deque<CallFacts> &Calls = SubQueue->second->Calls_;
  auto Position = Calls.end();
  while (Position != Calls.begin() &&
         std::prev(Position)->Deadline_ > Call.Deadline_)
    --Position;
  Calls.insert(Position, Call);
  ++Class.Size_;
  Queue.ClassOfCall_[Call.Call_] = Index;
}

std::array<unsigned, PriorityClasses> classOrder(const AdmissionQueue &Queue) {
  std::array<unsigned, PriorityClasses> Order = {0, 1, 2};
  std::stable_sort(Order.begin(), Order.end(), [&](unsigned A, unsigned B) {
    return Queue.Classes_[A].VirtualTime_ < Queue.Classes_[B].VirtualTime_;
  });
  return Order;
}

const CallFacts *nextOf(const AdmissionQueue &Queue, unsigned Class) {
  const PriorityClass &Wanted = Queue.Classes_[Class];
  return Wanted.CallerQueues_.empty()
             ? nullptr
             : &Wanted.CallerQueues_.front().Calls_.front();
}

CallFacts takeFront(AdmissionQueue &Queue, PriorityClass &Class,
                    std::list<CallerQueue>::iterator SubQueue) {
  return takeAt(Queue, Class, SubQueue, SubQueue->Calls_.begin());
}

CallFacts takeNext(AdmissionQueue &Queue, unsigned Index) {
  PriorityClass &Class = Queue.Classes_[Index];
  const auto SubQueue = Class.CallerQueues_.begin();
  Class.CallerQueues_.splice(Class.CallerQueues_.end(), Class.CallerQueues_,
                             SubQueue);
  Class.VirtualTime_ += 1 / Weights[Index];
  return takeFront(Queue, Class, SubQueue);
}

bool removeCall(AdmissionQueue &Queue, CallId Call) {
  const auto Found = Queue.ClassOfCall_.find(Call);
  if (Found == Queue.ClassOfCall_.end())
    return false;
  PriorityClass &Class = Queue.Classes_[Found->second];
  for (auto SubQueue = Class.CallerQueues_.begin();
       SubQueue != Class.CallerQueues_.end(); ++SubQueue) {
    const auto Position = std::find_if(
        SubQueue->Calls_.begin(), SubQueue->Calls_.end(),
        [&](const CallFacts &Facts) { return Facts.Call_ == Call; });
    if (Position == SubQueue->Calls_.end())
      continue;
    takeAt(Queue, Class, SubQueue, Position);
    return true;
  }
  return false;
}

bool hasLowerClass(const AdmissionQueue &Queue, unsigned Class) {
  for (unsigned Index = Class + 1; Index < PriorityClasses; ++Index)
    if (Queue.Classes_[Index].Size_ > 0)
      return true;
  return false;
}

std::optional<CallFacts> takeLastOfLowerClass(AdmissionQueue &Queue,
                                              unsigned Class) {
  for (unsigned Index = PriorityClasses; --Index > Class;) {
    PriorityClass &Lower = Queue.Classes_[Index];
    if (Lower.Size_ == 0)
      continue;
    const auto Longest =
        std::max_element(Lower.CallerQueues_.begin(), Lower.CallerQueues_.end(),
                         [](const CallerQueue &Left, const CallerQueue &Right) {
                           return Left.Calls_.size() < Right.Calls_.size();
                         });
    return takeAt(Queue, Lower, Longest, std::prev(Longest->Calls_.end()));
  }
  return std::nullopt;
}

} // namespace cumingauge::policy

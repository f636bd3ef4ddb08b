#include "policy/entryqueue.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Calls served per turn of a class while all classes have calls waiting.
constexpr std::array<double, PriorityClasses> Weights = {16, 4, 1};

double leastServed(const EntryQueue &Queue) {
  double Least = 0;
  bool Found = false;
  for (const PriorityClass &Class : Queue.Classes_) {
    if (Class.Size_ == 0)
      continue;
    Least = Found ? std::min(Least, Class.Served_) : Class.Served_;
    Found = true;
  }
  return Least;
}

void dropLaneIfEmpty(PriorityClass &Class,
                     std::list<CallerLane>::iterator Lane) {
  if (!Lane->Calls_.empty())
    return;
  Class.ByCaller_.erase(Lane->Caller_);
  Class.Lanes_.erase(Lane);
}

CallFacts takeAt(EntryQueue &Queue, PriorityClass &Class,
                 std::list<CallerLane>::iterator Lane,
                 const std::deque<CallFacts>::iterator &Place) {
  CallFacts Call = std::move(*Place);
  Lane->Calls_.erase(Place);
  --Class.Size_;
  Queue.ClassOfCall_.erase(Call.Call_);
  dropLaneIfEmpty(Class, Lane);
  return Call;
}

} // namespace

unsigned classOf(const CallFacts &Call) {
  return static_cast<unsigned>(Call.Route_.Priority_);
}

unsigned sizeOf(const EntryQueue &Queue) {
  unsigned Size = 0;
  for (const PriorityClass &Class : Queue.Classes_)
    Size += Class.Size_;
  return Size;
}

unsigned queuedBy(const EntryQueue &Queue, const std::string &Caller) {
  std::size_t Count = 0;
  for (const PriorityClass &Class : Queue.Classes_) {
    const auto Lane = Class.ByCaller_.find(Caller);
    if (Lane != Class.ByCaller_.end())
      Count += Lane->second->Calls_.size();
  }
  return static_cast<unsigned>(Count);
}

double callsAhead(const EntryQueue &Queue, const CallFacts &Call) {
  const unsigned Own = classOf(Call);
  double Ahead = 0;
  for (unsigned Higher = 0; Higher < Own; ++Higher)
    Ahead += Queue.Classes_[Higher].Size_;
  const PriorityClass &Class = Queue.Classes_[Own];
  const auto Lane = Class.ByCaller_.find(Call.Caller_);
  const std::size_t InLane =
      Lane == Class.ByCaller_.end() ? 0 : Lane->second->Calls_.size();
  const std::size_t Turns = (InLane + 1) * Class.Lanes_.size();
  return Ahead + static_cast<double>(std::min<std::size_t>(Class.Size_, Turns));
}

void push(EntryQueue &Queue, const CallFacts &Call) {
  const unsigned Index = classOf(Call);
  PriorityClass &Class = Queue.Classes_[Index];
  if (Class.Size_ == 0)
    Class.Served_ = std::max(Class.Served_, leastServed(Queue));
  auto Lane = Class.ByCaller_.find(Call.Caller_);
  if (Lane == Class.ByCaller_.end()) {
    Class.Lanes_.push_back({Call.Caller_, {}});
    Lane = Class.ByCaller_.emplace(Call.Caller_, std::prev(Class.Lanes_.end()))
               .first;
  }
  std::deque<CallFacts> &Calls = Lane->second->Calls_;
  auto Place = Calls.end();
  while (Place != Calls.begin() && std::prev(Place)->Deadline_ > Call.Deadline_)
    --Place;
  Calls.insert(Place, Call);
  ++Class.Size_;
  Queue.ClassOfCall_[Call.Call_] = Index;
}

std::array<unsigned, PriorityClasses> classOrder(const EntryQueue &Queue) {
  std::array<unsigned, PriorityClasses> Order = {0, 1, 2};
  std::stable_sort(Order.begin(), Order.end(), [&](unsigned A, unsigned B) {
    return Queue.Classes_[A].Served_ < Queue.Classes_[B].Served_;
  });
  return Order;
}

const CallFacts *nextOf(const EntryQueue &Queue, unsigned Class) {
  const PriorityClass &Wanted = Queue.Classes_[Class];
  return Wanted.Lanes_.empty() ? nullptr
                               : &Wanted.Lanes_.front().Calls_.front();
}

CallFacts takeFront(EntryQueue &Queue, PriorityClass &Class,
                    std::list<CallerLane>::iterator Lane) {
  return takeAt(Queue, Class, Lane, Lane->Calls_.begin());
}

CallFacts takeNext(EntryQueue &Queue, unsigned Index) {
  PriorityClass &Class = Queue.Classes_[Index];
  const auto Lane = Class.Lanes_.begin();
  Class.Lanes_.splice(Class.Lanes_.end(), Class.Lanes_, Lane);
  Class.Served_ += 1 / Weights[Index];
  return takeFront(Queue, Class, Lane);
}

bool forget(EntryQueue &Queue, CallId Call) {
  const auto Found = Queue.ClassOfCall_.find(Call);
  if (Found == Queue.ClassOfCall_.end())
    return false;
  PriorityClass &Class = Queue.Classes_[Found->second];
  for (auto Lane = Class.Lanes_.begin(); Lane != Class.Lanes_.end(); ++Lane) {
    const auto Place = std::find_if(
        Lane->Calls_.begin(), Lane->Calls_.end(),
        [&](const CallFacts &Facts) { return Facts.Call_ == Call; });
    if (Place == Lane->Calls_.end())
      continue;
    takeAt(Queue, Class, Lane, Place);
    return true;
  }
  return false;
}

std::optional<CallFacts> takeLastBelow(EntryQueue &Queue, unsigned Class) {
  for (unsigned Index = PriorityClasses; --Index > Class;) {
    PriorityClass &Lower = Queue.Classes_[Index];
    if (Lower.Size_ == 0)
      continue;
    const auto Longest =
        std::max_element(Lower.Lanes_.begin(), Lower.Lanes_.end(),
                         [](const CallerLane &Left, const CallerLane &Right) {
                           return Left.Calls_.size() < Right.Calls_.size();
                         });
    return takeAt(Queue, Lower, Longest, std::prev(Longest->Calls_.end()));
  }
  return std::nullopt;
}

} // namespace cumingauge::policy

#pragma once

#include "model/resultcode.h"
#include "policy/balancer.h"
#include <array>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

/// The queue of one service: classes by priority, in each class one lane per
/// caller, in each lane the call that expires first goes first.
namespace cumingauge::policy {

constexpr unsigned PriorityClasses = 3;

/// Waiting calls of one caller in one class, by deadline.
struct CallerLane {
  std::string Caller_;
  std::deque<CallFacts> Calls_;
};

/// Lanes take turns: the front one is next and then goes to the back.
struct PriorityClass {
  std::list<CallerLane> Lanes_; ///< never empty ones
  std::unordered_map<std::string, std::list<CallerLane>::iterator> ByCaller_;
  unsigned Size_ = 0;
  double Served_ = 0; ///< calls served over the weight of the class
};

struct EntryQueue {
  std::array<PriorityClass, PriorityClasses> Classes_;
  std::unordered_map<CallId, unsigned> ClassOfCall_;
};

unsigned classOf(const CallFacts &Call);

unsigned sizeOf(const EntryQueue &Queue);

/// Waiting calls of one caller over all classes.
unsigned queuedBy(const EntryQueue &Queue, const std::string &Caller);

/// Calls that will be served before a new one of this caller and class, as an
/// estimate.
double callsAhead(const EntryQueue &Queue, const CallFacts &Call);

void push(EntryQueue &Queue, const CallFacts &Call);

/// Classes in the order in which they should be tried now. The weights serve
/// urgent calls first without leaving the patient ones out for ever.
std::array<unsigned, PriorityClasses> classOrder(const EntryQueue &Queue);

/// The call of the class that is next, or null.
const CallFacts *nextOf(const EntryQueue &Queue, unsigned Class);

/// Takes the next call of the class out.
CallFacts takeNext(EntryQueue &Queue, unsigned Class);

/// Takes one call out; false when it is not waiting.
bool forget(EntryQueue &Queue, CallId Call);

/// Takes out every call that could not end before its deadline when sent at
/// \p Now.
/// \param LeastNs shortest useful time for a call, by route.
template <class LeastDuration>
std::vector<CallFacts> takeLate(EntryQueue &Queue, model::TimePoint Now,
                                const LeastDuration &Least);

/// Takes out the call that would be served last in the lowest class below
/// \p Class, to make room; nothing when there is none.
std::optional<CallFacts> takeLastBelow(EntryQueue &Queue, unsigned Class);

/// Takes the first call out of a lane and drops the lane when it is empty.
CallFacts takeFront(EntryQueue &Queue, PriorityClass &Class,
                    std::list<CallerLane>::iterator Lane);

template <class LeastDuration>
std::vector<CallFacts> takeLate(EntryQueue &Queue, model::TimePoint Now,
                                const LeastDuration &Least) {
  std::vector<CallFacts> Late;
  for (PriorityClass &Class : Queue.Classes_) {
    for (auto Lane = Class.Lanes_.begin(); Lane != Class.Lanes_.end();) {
      const auto Next = std::next(Lane);
      std::size_t Left = Lane->Calls_.size();
      while (Left > 0) {
        const CallFacts &Front = Lane->Calls_.front();
        if (Now + Least(Front) < Front.Deadline_)
          break;
        Late.push_back(takeFront(Queue, Class, Lane));
        --Left;
      }
      Lane = Next;
    }
  }
  return Late;
}

} // namespace cumingauge::policy

#pragma once

#include "model/resultcode.h"
#include "policy/balancer.h"
#include <array>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

/// The admission queue of one service. Weighted fair queueing between priority
/// classes; in each class the callers take turns, each with a queue of its own
/// in which the call with the earliest deadline comes first.
namespace cumingauge::policy {

constexpr unsigned PriorityClasses = 3;

/// Waiting calls of one caller in one priority class, by deadline.
struct CallerQueue {
  std::string Caller_;
  std::deque<CallFacts> Calls_;
};

/// Waiting calls of one priority class. The queue of the front caller is served
/// next and then moves to the back.
struct PriorityClass {
  std::list<CallerQueue> CallerQueues_; ///< no queue in it is empty
  std::unordered_map<std::string, std::list<CallerQueue>::iterator> ByCaller_;
  unsigned Size_ = 0;
  double VirtualTime_ = 0; ///< calls served, divided by the weight of the class
};

/// Waiting calls of one service.
struct AdmissionQueue {
  std::array<PriorityClass, PriorityClasses> Classes_;
  std::unordered_map<CallId, unsigned> ClassOfCall_;
};

/// Returns the index of the call's priority class; 0 is the most urgent one.
unsigned classOf(const CallFacts &Call);

/// Returns the number of waiting calls.
unsigned sizeOf(const AdmissionQueue &Queue);

/// Returns the number of waiting calls of one caller, in all classes.
unsigned queuedBy(const AdmissionQueue &Queue, const std::string &Caller);

/// Estimates how many calls will be served before a new one of this caller and
/// class.
double callsAhead(const AdmissionQueue &Queue, const CallFacts &Call);

/// Adds a call to its class and caller, by deadline.
void push(AdmissionQueue &Queue, const CallFacts &Call);

/// Returns the classes in the order in which they should be tried now. The
/// weights serve urgent calls first without starving the patient ones.
std::array<unsigned, PriorityClasses> classOrder(const AdmissionQueue &Queue);

/// Returns the next call of the class, or null.
const CallFacts *nextOf(const AdmissionQueue &Queue, unsigned Class);

/// Removes and returns the next call of the class.
CallFacts takeNext(AdmissionQueue &Queue, unsigned Class);

/// Removes one call; returns false when it is not waiting.
bool removeCall(AdmissionQueue &Queue, CallId Call);

/// Removes and returns every call that could not be answered before its
/// deadline if it were sent at \p Now.
/// \param MinTime returns the shortest time that a call is expected to take.
template <class MinDuration>
std::vector<CallFacts> takeOverdue(AdmissionQueue &Queue, model::TimePoint Now,
                                   const MinDuration &MinTime);

/// Returns whether a call waits in a class below \p Class.
bool hasLowerClass(const AdmissionQueue &Queue, unsigned Class);

/// Removes and returns the call that would be served last in the lowest class
/// below \p Class, to make room; nothing when there is none.
std::optional<CallFacts> takeLastOfLowerClass(AdmissionQueue &Queue,
                                              unsigned Class);

/// Removes and returns the first call of a caller's queue, and erases the queue
/// when it is empty.
CallFacts takeFront(AdmissionQueue &Queue, PriorityClass &Class,
                    std::list<CallerQueue>::iterator SubQueue);

template <class MinDuration>
std::vector<CallFacts> takeOverdue(AdmissionQueue &Queue, model::TimePoint Now,
                                   const MinDuration &MinTime) {
  std::vector<CallFacts> Late;
  for (PriorityClass &Class : Queue.Classes_) {
    for (auto SubQueue = Class.CallerQueues_.begin();
         SubQueue != Class.CallerQueues_.end();) {
      const auto Next = std::next(SubQueue);
      std::size_t Left = SubQueue->Calls_.size();
      while (Left > 0) {
        const CallFacts &Front = SubQueue->Calls_.front();
        if (Now + MinTime(Front) < Front.Deadline_)
          break;
        Late.push_back(takeFront(Queue, Class, SubQueue));
        --Left;
      }
      SubQueue = Next;
    }
  }
  return Late;
}

} // namespace cumingauge::policy

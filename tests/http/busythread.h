#pragma once

#include "http/frontend.h"
#include "http/gate.h"
#include <algorithm>
#include <cppunit/TestAssert.h>
#include <deque>

namespace cumingauge::test {

/// Occupies the only traffic thread in two steps: with a call, and then with a
/// refusal in the turn in which the thread sees what has become due meanwhile.
/// What arrives in the second step is not seen before the timers are handled.
class BusyThread {
public:
  explicit BusyThread(FrontEnd &Front)
      : Front_(Front), Calling_(Front.port()), Refused_(Front.port()) {
    Calling_.call(request("GET", "/search/calling"));
    Refused_.call(request("GET", "/search/refused"));
  }
  BusyThread(const BusyThread &) = delete;
  BusyThread &operator=(const BusyThread &) = delete;
  ~BusyThread() { end(); }

  void begin() {
    Front_.holdThread(First_);
    Calling_.send(request("GET", "/search/calling"));
    CPPUNIT_ASSERT(eventually([&] { return Front_.isThreadHeld(); }));
  }

  void takeWhatIsDue() {
    Front_.holdThreadAtRefusal(Second_);
    Refused_.send(request("GET", "/nowhere"));
    First_.open();
    CPPUNIT_ASSERT(eventually([&] { return Front_.isThreadHeldAtRefusal(); }));
  }

  void end() {
    First_.open();
    Second_.open();
  }

private:
  FrontEnd &Front_;
  Gate First_;
  Gate Second_;
  RawCaller Calling_;
  RawCaller Refused_;
};

/// Returns whether a caller has received a whole answer of any kind.
inline bool isAnswered(const RawCaller::Answer &Answer) {
  return Answer.Whole_ && Answer.Status_ != 0;
}

/// Reads an answer of each caller and counts those without a whole one.
inline std::ptrdiff_t unanswered(std::deque<RawCaller> &Crowd) {
  return std::count_if(Crowd.begin(), Crowd.end(), [](RawCaller &Caller) {
    return !isAnswered(Caller.read());
  });
}

} // namespace cumingauge::test

#include "traffic/connectionlifecycle.h"
#include "traffic/outcomes.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::traffic;

namespace {

/// Sends calls one after the other over connections to a simulated server,
/// which answers late, twice or not at all. Every answer carries the number of
/// the call that it belongs to, so that an answer given to another call is
/// detected.
class ConnectionSimulation {
public:
  ConnectionSimulation(bool RepeatsCallId, std::vector<unsigned> Script)
      : RepeatsCallId_(RepeatsCallId), Script_(std::move(Script)) {
    reconnect();
  }

  void run() {
    while (Next_ < Script_.size())
      step();
  }

  unsigned answered() const { return Answered_; }

private:
  unsigned draw(unsigned Choices) {
    return Next_ < Script_.size() ? Script_[Next_++] % Choices : 0;
  }

  void reconnect() {
    Lifecycle_ = std::make_unique<ConnectionLifecycle>();
    InTransit_.clear();
    Unparsed_.clear();
    CurrentCall_ = 0;
    Lifecycle_->process(ConnectSucceeded{});
  }

  void step() {
    switch (draw(5)) {
    case 0:
    case 1:
      return startCall();
    case 2:
    case 3:
      return deliver();
    default:
      if (CurrentCall_ != 0 && draw(3) == 0)
        processEvent(Abandoned{});
    }
  }

  void startCall() {
    // Bytes that arrived before the call are seen first and close the
    // connection. An answer that is still in transit can only be told from the
    // new call's answer if the server repeats call ids.
    if (!Lifecycle_->isIdle() || (!InTransit_.empty() && !RepeatsCallId_))
      return;
    CurrentCall_ = ++LastCall_;
    processEvent(Leased{});
    processEvent(RequestSent{});
    const unsigned Copies = draw(4);
    for (unsigned I = 0; I < std::min(Copies, 2U); ++I)
      InTransit_.push_back(CurrentCall_);
    // Bytes left in the reader would be parsed as the new call's answer.
    if (!Unparsed_.empty())
      handleAnswer(Unparsed_.front(), /*Together=*/false);
  }

  void deliver() {
    if (InTransit_.empty())
      return;
    const unsigned AnsweredCall = InTransit_.front();
    InTransit_.pop_front();
    // The next answer may arrive in the same read.
    const bool InSameRead = !InTransit_.empty() && draw(2) == 0;
    if (InSameRead) {
      Unparsed_.push_back(InTransit_.front());
      InTransit_.pop_front();
    }
    const bool WasIdle = Lifecycle_->isIdle();
    if (processEvent(BytesArrived{}))
      handleAnswer(AnsweredCall, InSameRead);
    else if (WasIdle && Lifecycle_->isIdle() && !Reconnected_)
      Unparsed_.push_back(AnsweredCall);
  }

  void handleAnswer(unsigned AnsweredCall, bool InSameRead) {
    const std::string Repeated =
        RepeatsCallId_ ? std::to_string(AnsweredCall) : "";
    if (!isAnswerTo(std::to_string(CurrentCall_), Repeated)) {
      processEvent(ConnectionBroken{});
      return;
    }
    RC_ASSERT(AnsweredCall == CurrentCall_);
    ++Answered_;
    CurrentCall_ = 0;
    processEvent(AnswerComplete{draw(4) != 0, InSameRead});
  }

  /// Processes an event; replaces the connection if it was closed.
  /// \returns whether the bytes that arrived are to be parsed as an answer.
  bool processEvent(const ConnectionEvent &Event) {
    bool Parse = false;
    Reconnected_ = false;
    for (const ConnectionAction Action : Lifecycle_->process(Event)) {
      Parse = Parse || Action == ConnectionAction::ParseAnswer;
      if (Action == ConnectionAction::AddToPool)
        RC_ASSERT(CurrentCall_ == 0U);
    }
    if (Lifecycle_->isClosed()) {
      reconnect();
      Reconnected_ = true;
    }
    return Parse;
  }

  const bool RepeatsCallId_;
  const std::vector<unsigned> Script_;
  std::size_t Next_ = 0;
  std::unique_ptr<ConnectionLifecycle> Lifecycle_;
  std::deque<unsigned> InTransit_; ///< calls whose answers are in transit
  std::deque<unsigned>
      Unparsed_; ///< calls whose answers are read but not parsed
  bool Reconnected_ = false;
  unsigned CurrentCall_ = 0; ///< call on the connection; 0: none
  unsigned LastCall_ = 0;
  unsigned Answered_ = 0;
};

unsigned countAnsweredCalls(bool RepeatsCallId) {
  const auto Script = *rc::gen::container<std::vector<unsigned>>(
      300, rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, 1000U)));
  ConnectionSimulation Simulation(RepeatsCallId, Script);
  Simulation.run();
  return Simulation.answered();
}

class AnswersOnSharedConnections : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswersOnSharedConnections);
  CPPUNIT_TEST(reachOnlyTheirOwnCall);
  CPPUNIT_TEST(reachOnlyTheirOwnCallWhenCopiesAreDelayed);
  CPPUNIT_TEST(areIgnoredAfterTheirCallWasAbandoned);
  CPPUNIT_TEST_SUITE_END();

public:
  void reachOnlyTheirOwnCall() {
    unsigned Answered = 0;
    CPPUNIT_ASSERT(rc::check("no answer goes to another call",
                             [&] { Answered += countAnsweredCalls(false); }));
    CPPUNIT_ASSERT(Answered > 1000);
  }

  void reachOnlyTheirOwnCallWhenCopiesAreDelayed() {
    unsigned Answered = 0;
    CPPUNIT_ASSERT(
        rc::check("no answer goes to another call when copies are delayed",
                  [&] { Answered += countAnsweredCalls(true); }));
    CPPUNIT_ASSERT(Answered > 1000);
  }

  void areIgnoredAfterTheirCallWasAbandoned() {
    ConnectionLifecycle Lifecycle;
    Lifecycle.process(ConnectSucceeded{});
    Lifecycle.process(Leased{});
    Lifecycle.process(RequestSent{});
    Lifecycle.process(Abandoned{});
    CPPUNIT_ASSERT(Lifecycle.isClosed());
    CPPUNIT_ASSERT(Lifecycle.process(BytesArrived{}).empty());
    CPPUNIT_ASSERT(Lifecycle.process(AnswerComplete{true, false}).empty());
    CPPUNIT_ASSERT(!Lifecycle.isIdle());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswersOnSharedConnections);

} // namespace

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
class Wire {
public:
  Wire(bool RepeatsCallId, std::vector<unsigned> Script)
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
    Life_ = std::make_unique<ConnectionLifecycle>();
    OnTheWay_.clear();
    Read_.clear();
    Carried_ = 0;
    Life_->process(ConnectSucceeded{});
  }

  void step() {
    switch (draw(5)) {
    case 0:
    case 1:
      return putCall();
    case 2:
    case 3:
      return deliver();
    default:
      if (Carried_ != 0 && draw(3) == 0)
        act(Abandoned{});
    }
  }

  void putCall() {
    // Bytes that arrived before the call are seen first and close the
    // connection. An answer that is still in transit can only be told from the
    // new call's answer if the server repeats call ids.
    if (!Life_->isIdle() || (!OnTheWay_.empty() && !RepeatsCallId_))
      return;
    Carried_ = ++LastCall_;
    act(Leased{});
    act(RequestSent{});
    const unsigned Copies = draw(4);
    for (unsigned I = 0; I < std::min(Copies, 2U); ++I)
      OnTheWay_.push_back(Carried_);
    // Bytes left in the reader would be parsed as the new call's answer.
    if (!Read_.empty())
      takeAnswer(Read_.front(), /*Together=*/false);
  }

  void deliver() {
    if (OnTheWay_.empty())
      return;
    const unsigned Tag = OnTheWay_.front();
    OnTheWay_.pop_front();
    // The next answer may arrive in the same read.
    const bool Together = !OnTheWay_.empty() && draw(2) == 0;
    if (Together) {
      Read_.push_back(OnTheWay_.front());
      OnTheWay_.pop_front();
    }
    const bool WasIdle = Life_->isIdle();
    if (act(BytesArrived{}))
      takeAnswer(Tag, Together);
    else if (WasIdle && Life_->isIdle() && !Reconnected_)
      Read_.push_back(Tag);
  }

  void takeAnswer(unsigned Tag, bool Together) {
    const std::string Repeated = RepeatsCallId_ ? std::to_string(Tag) : "";
    if (!isAnswerTo(std::to_string(Carried_), Repeated)) {
      act(ConnectionBroken{});
      return;
    }
    RC_ASSERT(Tag == Carried_);
    ++Answered_;
    Carried_ = 0;
    act(AnswerComplete{draw(4) != 0, Together});
  }

  /// Processes an event; replaces the connection if it was closed.
  /// \returns whether the bytes that arrived are to be parsed as an answer.
  bool act(const ConnectionEvent &Event) {
    bool Parse = false;
    Reconnected_ = false;
    for (const ConnectionAction Action : Life_->process(Event)) {
      Parse = Parse || Action == ConnectionAction::ParseAnswer;
      if (Action == ConnectionAction::AddToPool)
        RC_ASSERT(Carried_ == 0U);
    }
    if (Life_->isClosed()) {
      reconnect();
      Reconnected_ = true;
    }
    return Parse;
  }

  const bool RepeatsCallId_;
  const std::vector<unsigned> Script_;
  std::size_t Next_ = 0;
  std::unique_ptr<ConnectionLifecycle> Life_;
  std::deque<unsigned> OnTheWay_; ///< calls whose answers are in transit
  std::deque<unsigned> Read_; ///< calls whose answers are read but not parsed
  bool Reconnected_ = false;
  unsigned Carried_ = 0; ///< call on the connection; 0: none
  unsigned LastCall_ = 0;
  unsigned Answered_ = 0;
};

unsigned play(bool RepeatsCallId) {
  const auto Script = *rc::gen::container<std::vector<unsigned>>(
      300, rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, 1000U)));
  Wire Played(RepeatsCallId, Script);
  Played.run();
  return Played.answered();
}

class AnswersOnSharedConnections : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswersOnSharedConnections);
  CPPUNIT_TEST(reachOnlyTheirOwnCall);
  CPPUNIT_TEST(reachOnlyTheirOwnCallWhenCopiesAreDelayed);
  CPPUNIT_TEST(neverComeFromAConnectionThatWasGivenUp);
  CPPUNIT_TEST_SUITE_END();

public:
  void reachOnlyTheirOwnCall() {
    unsigned Answered = 0;
    CPPUNIT_ASSERT(rc::check("no answer goes to another call",
                             [&] { Answered += play(false); }));
    CPPUNIT_ASSERT(Answered > 1000);
  }

  void reachOnlyTheirOwnCallWhenCopiesAreDelayed() {
    unsigned Answered = 0;
    CPPUNIT_ASSERT(rc::check("nor with delayed copies, when ids are repeated",
                             [&] { Answered += play(true); }));
    CPPUNIT_ASSERT(Answered > 1000);
  }

  void neverComeFromAConnectionThatWasGivenUp() {
    ConnectionLifecycle Life;
    Life.process(ConnectSucceeded{});
    Life.process(Leased{});
    Life.process(RequestSent{});
    Life.process(Abandoned{});
    CPPUNIT_ASSERT(Life.isClosed());
    CPPUNIT_ASSERT(Life.process(BytesArrived{}).empty());
    CPPUNIT_ASSERT(Life.process(AnswerComplete{true, false}).empty());
    CPPUNIT_ASSERT(!Life.isIdle());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswersOnSharedConnections);

} // namespace

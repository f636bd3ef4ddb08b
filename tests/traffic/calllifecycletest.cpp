#include "traffic/calllifecycle.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::traffic;

namespace {

/// What a backend server knows of one attempt.
struct ServerSide {
  bool BytesArrived_ = false; ///< bytes of the request may have arrived
  bool Ran_ = false;
  bool Declined_ = false;   ///< it stated that it does not run the call
  bool AnswerLeft_ = false; ///< it has started to answer
  bool Complete_ = false;   ///< its answer arrived completely
};

/// Performs the actions of a call against simulated servers. A script of random
/// numbers decides how the servers, the network and the balancer behave.
class CallSimulation {
public:
  CallSimulation(CallRules Rules, std::vector<unsigned> Script)
      : Call_(Rules), Script_(std::move(Script)) {}

  void run() {
    feed(CallArrived{});
    while (!Call_.isEnded() && Next_ < Script_.size())
      feedRandomEvent();
    if (!Call_.isEnded())
      feed(DeadlinePassed{});
    // Late events must not cause any further action.
    const std::size_t Actions = Actions_.size();
    for (AttemptNumber A = 1; A <= Servers_.size(); ++A) {
      feed(AnswerStarted{A});
      feed(AnswerEnded{A, false});
      feed(AttemptFailed{A, AttemptState::Lost, false});
    }
    feed(ServerChosen{1});
    feed(CallerLeft{});
    RC_ASSERT(Actions_.size() == Actions);
  }

  template <class T> std::vector<T> actions() const {
    std::vector<T> Out;
    for (const CallAction &Action : Actions_)
      if (const T *Found = std::get_if<T>(&Action))
        Out.push_back(*Found);
    return Out;
  }

  const std::vector<ServerSide> &servers() const { return Servers_; }
  AttemptNumber forwarded() const { return Forwarded_; }

private:
  unsigned draw(unsigned Choices) {
    return Next_ < Script_.size() ? Script_[Next_++] % Choices : 0;
  }

  void feed(const CallEvent &Event) {
    std::vector<CallEvent> Answers;
    for (const CallAction &Action : Call_.process(Event)) {
      Actions_.push_back(Action);
      std::visit([&](const auto &A) { perform(A, Answers); }, Action);
    }
    for (const CallEvent &Answer : Answers)
      feed(Answer);
  }

  template <class T> void perform(const T &, std::vector<CallEvent> &) {}

  void perform(const AskBalancer &, std::vector<CallEvent> &Answers) {
    if (draw(8) == 0)
      Answers.push_back(AdmissionRefused{model::ResultCode::NotRunQueueFull});
    else if (draw(4) != 0)
      Answers.push_back(ServerChosen{draw(5)});
  }

  void perform(const OpenAttempt &, std::vector<CallEvent> &) {
    Servers_.emplace_back();
  }

  void perform(const SendRequest &Action, std::vector<CallEvent> &) {
    Servers_[Action.Attempt_ - 1].BytesArrived_ = draw(8) != 0;
  }

  void perform(const ForwardAnswer &Action, std::vector<CallEvent> &) {
    RC_ASSERT(Forwarded_ == 0U);
    Forwarded_ = Action.Attempt_;
  }

  void perform(const AskRetry &, std::vector<CallEvent> &Answers) {
    Answers.push_back(RetryDecided{draw(4) != 0});
  }

  void perform(const AskHedge &, std::vector<CallEvent> &Answers) {
    Answers.push_back(HedgeDecided{draw(3) == 0 ? policy::NoServer : draw(5)});
  }

  /// Feeds one random event, also for attempts that have ended, since networks
  /// deliver late and more than once.
  void feedRandomEvent() {
    const unsigned Kind = draw(12);
    if (Kind == 0)
      return feed(HedgeDue{});
    if (Kind == 1 && draw(6) == 0)
      return feed(DeadlinePassed{});
    if (Kind == 2 && draw(6) == 0)
      return feed(CallerLeft{});
    if (Kind == 4 && draw(6) == 0)
      return feed(RequestGivenUp{model::ResultCode::NotRunDeadline});
    if (Kind == 3)
      return feed(ServerChosen{draw(5)}); // a queued call is dispatched
    if (Servers_.empty())
      return;
    const AttemptNumber Attempt = 1 + draw(Servers_.size());
    feedAttemptEvent(Attempt, Servers_[Attempt - 1]);
  }

  void feedAttemptEvent(AttemptNumber Attempt, ServerSide &Server) {
    switch (draw(7)) {
    case 0:
    case 1:
      return feed(ConnectionReady{Attempt});
    case 2: // the connection fails before a byte reached the server
      if (!Server.BytesArrived_)
        feed(AttemptFailed{Attempt, AttemptState::NotSent, false});
      return;
    case 3: // refused by the server, which did not run it
      if (!Server.BytesArrived_ || Server.Ran_)
        return;
      Server.Declined_ = true;
      return feed(
          AttemptFailed{Attempt, AttemptState::DeclaredNotRun, draw(2) == 0});
    case 4: // runs it; the answer is lost or malformed
      if (!Server.BytesArrived_ || Server.Declined_)
        return;
      Server.Ran_ = true;
      return feed(AttemptFailed{
          Attempt, draw(2) == 0 ? AttemptState::Lost : AttemptState::Malformed,
          false});
    case 5:
      if (!Server.BytesArrived_ || Server.Declined_)
        return;
      Server.Ran_ = Server.AnswerLeft_ = true;
      return feed(AnswerStarted{Attempt});
    default:
      if (!Server.AnswerLeft_)
        return;
      Server.Complete_ = true;
      return feed(AnswerEnded{Attempt, draw(2) == 0});
    }
  }

  CallLifecycle Call_;
  std::vector<unsigned> Script_;
  std::size_t Next_ = 0;
  std::vector<CallAction> Actions_;
  std::vector<ServerSide> Servers_;
  AttemptNumber Forwarded_ = 0;
};

CallSimulation runScript(bool Idempotent, bool Replayable) {
  const auto Script = *rc::gen::container<std::vector<unsigned>>(
      60, rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, 1000U)));
  CallSimulation Simulation({Idempotent, Replayable}, Script);
  Simulation.run();
  return Simulation;
}

constexpr int ScriptsPerCase = 10;

void check(const char *Name, const std::function<void()> &Property) {
  const auto Repeated = [&Property] {
    for (int I = 0; I < ScriptsPerCase; ++I)
      Property();
  };
  CPPUNIT_ASSERT_MESSAGE(Name, rc::check(Name, Repeated));
}

class CallLifecycleUnderFaults : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallLifecycleUnderFaults);
  CPPUNIT_TEST(runsANonIdempotentCallOnAtMostOneServer);
  CPPUNIT_TEST(neverReportsNotRunForACallThatRan);
  CPPUNIT_TEST(endsWithOneCompleteAnswerOrOneError);
  CPPUNIT_TEST(reportsEveryAttemptOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void runsANonIdempotentCallOnAtMostOneServer() {
    check("a non-idempotent call runs on at most one server", [] {
      const CallSimulation Simulation =
          runScript(false, *rc::gen::arbitrary<bool>());
      const auto Ran = std::count_if(
          Simulation.servers().begin(), Simulation.servers().end(),
          [](const ServerSide &Server) { return Server.Ran_; });
      RC_ASSERT(Ran <= 1);
    });
  }

  void neverReportsNotRunForACallThatRan() {
    check("a call that ran is never reported as not run", [] {
      const CallSimulation Simulation =
          runScript(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
      for (const AnswerCaller &Answer : Simulation.actions<AnswerCaller>()) {
        if (model::isNotRun(Answer.Code_))
          for (const ServerSide &Server : Simulation.servers())
            RC_ASSERT(!Server.Ran_);
      }
    });
  }

  void endsWithOneCompleteAnswerOrOneError() {
    check("a call ends with one complete answer or one error", [] {
      const CallSimulation Simulation =
          runScript(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
      const auto Ends = Simulation.actions<EndCall>();
      RC_ASSERT(Ends.size() == 1U);
      const auto Errors = Simulation.actions<AnswerCaller>().size();
      const auto Breaks = Simulation.actions<AbortAnswer>().size();
      const bool Gone = Ends[0].Code_ == model::ResultCode::CallerGone;
      RC_ASSERT(Errors + Breaks <= 1U);
      if (Ends[0].Code_ == model::ResultCode::Ok) {
        RC_ASSERT(Errors + Breaks == 0U);
        RC_ASSERT(Simulation.servers()[Simulation.forwarded() - 1].Complete_);
      } else if (Simulation.forwarded() != 0) {
        RC_ASSERT((Gone || Breaks == 1U) && Errors == 0U);
      } else {
        RC_ASSERT((Gone || Errors == 1U) && Breaks == 0U);
      }
    });
  }

  void reportsEveryAttemptOnce() {
    check("every attempt is reported to the balancer once", [] {
      const CallSimulation Simulation = runScript(true, true);
      std::map<AttemptNumber, unsigned> Reports;
      for (const ReportAttempt &Report : Simulation.actions<ReportAttempt>())
        ++Reports[Report.Attempt_];
      const auto Opened = Simulation.actions<OpenAttempt>();
      RC_ASSERT(Reports.size() == Opened.size());
      for (const auto &Entry : Reports)
        RC_ASSERT(Entry.second == 1U);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallLifecycleUnderFaults);

} // namespace

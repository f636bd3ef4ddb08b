#include "http/frontend.h"
#include "http/gate.h"
#include "http/scriptedserver.h"
#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>
#include <utility>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

using Request = ScriptedServer::Request;

bool isFor(const Request &Seen, const std::string &Target) {
  return Seen.Head_.find(Target + " ") != std::string::npos;
}

std::size_t countOf(const ScriptedServer &Server, const std::string &Target) {
  const auto Seen = Server.requests();
  return static_cast<std::size_t>(
      std::count_if(Seen.begin(), Seen.end(),
                    [&](const Request &One) { return isFor(One, Target); }));
}

bool announcesClose(const RawCaller::Answer &Answer) {
  return Answer.Head_.find("Connection: close") != std::string::npos;
}

/// Limits with which idle connections stay open while the process stops.
adapters::HttpLimits patientLimits() {
  adapters::HttpLimits Out;
  Out.DrainAcceptTime_ = model::milliseconds(10000);
  Out.DrainIdleTime_ = model::milliseconds(20000);
  return Out;
}

/// What callers see of a process that stops while they use their connections.
class StoppingWithOpenConnections : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoppingWithOpenConnections);
  CPPUNIT_TEST(aCallerThatKeepsPipeliningIsNotServedForever);
  CPPUNIT_TEST(aRequestAfterAnAnswerThatDidNotAnnounceTheCloseIsAnswered);
  CPPUNIT_TEST(aRequestThatBeganBeforeTheLastMomentIsRefusedAsNotRun);
  CPPUNIT_TEST(aCallThatOutlastsTheStopIsAnsweredBeforeTheEnd);
  CPPUNIT_TEST(aCallThatWaitsForAServerIsRefusedBeforeTheEnd);
  CPPUNIT_TEST(aCallTakenInTheStopTellsItsServerTheTimeThatIsLeft);
  CPPUNIT_TEST(aCallerThatReadsSlowlyReceivesTheWholeLastAnswer);
  CPPUNIT_TEST(anAnswerThatIsBeingDeliveredIsNotCutBeforeTheEnd);
  CPPUNIT_TEST(aConnectionAcceptedAfterItsThreadHasEndedTheDrainIsNotServed);
  CPPUNIT_TEST(noCallOfTheWholeStopIsPassedOnAndCutOff);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a request that is taken long after the stop signal because
  /// earlier pipelined ones keep its connection open.
  void aCallerThatKeepsPipeliningIsNotServedForever() {
    Gate End;
    ScriptedServer Server([&](const Request &) {
      End.pass();
      return ScriptedServer::answer("found");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, patientLimits(), 1);
    RawCaller Caller(Front.port());
    Caller.send(request("GET", "/search/1") + request("GET", "/search/2"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 2; }));
    Front.traffic().drain([] {});
    Caller.send(request("GET", "/search/3"));
    // Time for a process that reads on to send the request to the server.
    std::this_thread::sleep_for(model::milliseconds(200));
    End.open();
    CPPUNIT_ASSERT(!announcesClose(Caller.read()));
    CPPUNIT_ASSERT(announcesClose(Caller.read()));
    CPPUNIT_ASSERT(Caller.read().Closed_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(Server, "/search/3"));
  }

  /// Guards against a request that is read and discarded because the connection
  /// closes without a word in the answer before.
  void aRequestAfterAnAnswerThatDidNotAnnounceTheCloseIsAnswered() {
    const std::string Long = longBody();
    ScriptedServer Server([&](const Request &Seen) {
      return ScriptedServer::answer(isFor(Seen, "/bulk") ? Long : "found");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, patientLimits(), 1);
    RawCaller Caller(Front.port());
    Caller.send(request("GET", "/bulk"));
    bool IsStopping = false;
    const std::size_t Read = Caller.discardAnswer([&] {
      if (!std::exchange(IsStopping, true))
        Front.traffic().drain([] {});
    });
    CPPUNIT_ASSERT_EQUAL(Long.size(), Read);
    const auto Answer = Caller.call(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
    CPPUNIT_ASSERT(announcesClose(Answer));
  }

  /// Guards against a request that is taken long after the stop signal because
  /// its first bytes came before idle connections were closed.
  void aRequestThatBeganBeforeTheLastMomentIsRefusedAsNotRun() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("found"); });
    adapters::HttpLimits Limits;
    Limits.DrainIdleTime_ = model::milliseconds(100);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    RawCaller Idle(Front.port());
    RawCaller InHead(Front.port());
    RawCaller InBody(Front.port());
    Idle.call(request("GET", "/search"));
    const std::string Whole = request("POST", "/licence", "", "x");
    InHead.send(Whole.substr(0, Whole.size() / 2));
    InBody.send(Whole.substr(0, Whole.size() - 1));
    Front.traffic().drain([] {});
    CPPUNIT_ASSERT(Idle.read().Closed_);
    InHead.send(Whole.substr(Whole.size() / 2));
    for (RawCaller *Late : {&InHead, &InBody}) {
      const auto Answer = Late->read();
      CPPUNIT_ASSERT_EQUAL(503U, Answer.Status_);
      CPPUNIT_ASSERT_EQUAL(std::string("105 NotRunStopping"),
                           Answer.ResultCode_);
      CPPUNIT_ASSERT(announcesClose(Answer));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(Server, "/licence"));
  }

  /// Guards against connections that end without a word when the time of the
  /// stop is over.
  void aCallThatOutlastsTheStopIsAnsweredBeforeTheEnd() {
    Gate Answering;
    ScriptedServer Server([&](const Request &) {
      Answering.pass();
      return ScriptedServer::answer("late");
    });
    adapters::HttpLimits Limits;
    Limits.DrainTimeout_ = model::milliseconds(2000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    RawCaller Single(Front.port());
    RawCaller Pipelining(Front.port());
    Single.send(request("POST", "/licence", "", "x"));
    Pipelining.send(request("GET", "/search/1") + request("GET", "/search/2"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 3; }));
    std::atomic<bool> Ended{false};
    Front.traffic().drain([&] { Ended = true; });
    const auto Answer = Single.read();
    CPPUNIT_ASSERT_EQUAL(504U, Answer.Status_);
    CPPUNIT_ASSERT(announcesClose(Answer));
    CPPUNIT_ASSERT_EQUAL(504U, Pipelining.read().Status_);
    CPPUNIT_ASSERT_EQUAL(504U, Pipelining.read().Status_);
    CPPUNIT_ASSERT(eventually([&] { return Ended.load(); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         Front.traffic().stats().AbandonedCalls_);
    Answering.open();
  }

  void aCallThatWaitsForAServerIsRefusedBeforeTheEnd() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("found"); });
    adapters::HttpLimits Limits;
    Limits.DrainTimeout_ = model::milliseconds(2000);
    Limits.FreshWait_ = model::milliseconds(60000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    Front.setFresh(false);
    RawCaller Waiting(Front.port());
    Waiting.send(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(
        eventually([&] { return Front.traffic().stats().InFlight_ == 1; }));
    std::atomic<bool> Ended{false};
    Front.traffic().drain([&] { Ended = true; });
    const auto Answer = Waiting.read();
    CPPUNIT_ASSERT_EQUAL(503U, Answer.Status_);
    CPPUNIT_ASSERT(announcesClose(Answer));
    CPPUNIT_ASSERT(eventually([&] { return Ended.load(); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         Front.traffic().stats().AbandonedCalls_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Server.requests().size());
  }

  void aCallTakenInTheStopTellsItsServerTheTimeThatIsLeft() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("found"); });
    adapters::HttpLimits Limits = patientLimits();
    Limits.DrainTimeout_ = model::milliseconds(4000);
    Limits.DrainIdleTime_ = model::milliseconds(3000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search"));
    Front.traffic().drain([] {});
    const auto Answer =
        Caller.call(request("GET", "/search", "X-Deadline-Ms: 5000\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
    CPPUNIT_ASSERT(deadlineMsOf(Server.requests().back()) <= 4000);
  }

  /// Guards against an answer that is cut by a reset one second after its last
  /// byte was written, while the caller still reads it.
  void aCallerThatReadsSlowlyReceivesTheWholeLastAnswer() {
    const std::string Body(1048576, 'b');
    ScriptedServer Server(
        [&](const Request &) { return ScriptedServer::answer(Body); });
    FrontEnd Front({{"cat-1", Server.port()}}, patientLimits(), 1);
    RawCaller Caller(Front.port());
    Front.traffic().drain([] {});
    Caller.send(request("GET", "/bulk"));
    std::this_thread::sleep_for(model::milliseconds(1500));
    const auto Answer = Caller.read();
    CPPUNIT_ASSERT(announcesClose(Answer));
    CPPUNIT_ASSERT_EQUAL(Body.size(), Answer.Body_.size());
    CPPUNIT_ASSERT(Answer.Whole_);
  }

  /// Guards against an answer that is cut at the time at which calls without an
  /// answer are given up, although its caller still receives it.
  void anAnswerThatIsBeingDeliveredIsNotCutBeforeTheEnd() {
    const std::string Long = longBody();
    ScriptedServer Server(
        [&](const Request &) { return ScriptedServer::answer(Long); });
    adapters::HttpLimits Limits = patientLimits();
    Limits.DrainTimeout_ = model::milliseconds(10000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    RawCaller Caller(Front.port());
    Caller.send(request("GET", "/bulk"));
    bool IsStopping = false;
    const std::size_t Read = Caller.discardAnswer([&] {
      if (std::exchange(IsStopping, true))
        return;
      Front.traffic().drain([] {});
      std::this_thread::sleep_for(model::milliseconds(9600));
    });
    CPPUNIT_ASSERT_EQUAL(Long.size(), Read);
  }

  /// Guards against a request that is taken on a thread that counts as drained,
  /// and is lost when the last of the other threads has ended its calls.
  void aConnectionAcceptedAfterItsThreadHasEndedTheDrainIsNotServed() {
    Gate First;
    Gate Second;
    ScriptedServer Server([&](const Request &Seen) {
      (isFor(Seen, "/search/1") ? First : Second).pass();
      return ScriptedServer::answer("found");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, patientLimits(), 2);
    adapters::HttpLimits Reloaded = patientLimits();
    Reloaded.DrainAcceptTime_ = model::milliseconds(0);
    Front.traffic().setLimits(Reloaded);
    RawCaller Earlier(Front.port());
    Earlier.send(request("GET", "/search/1"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 1; }));
    std::atomic<bool> Ended{false};
    Front.traffic().drain([&] { Ended = true; });
    // Time for the thread without calls to end its drain.
    std::this_thread::sleep_for(model::milliseconds(200));
    RawCaller Later(Front.port());
    Later.send(request("GET", "/search/2"));
    std::this_thread::sleep_for(model::milliseconds(200));
    First.open();
    const auto Answer = Earlier.read();
    Earlier.disconnect();
    const bool HasEnded = eventually([&] { return Ended.load(); });
    const std::size_t Lost = countOf(Server, "/search/2");
    Second.open();
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
    CPPUNIT_ASSERT(HasEnded);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Lost);
    CPPUNIT_ASSERT_EQUAL(std::string("105 NotRunStopping"),
                         Later.read().ResultCode_);
    CPPUNIT_ASSERT(Later.read().Closed_);
  }

  /// Guards against calls that are passed on late in the stop and have no
  /// answer at its end. Their servers work for longer than the stop lasts.
  void noCallOfTheWholeStopIsPassedOnAndCutOff() {
    constexpr int Calls = 24;
    constexpr model::milliseconds Step{100};
    Gate Working;
    ScriptedServer Server([&](const Request &) {
      Working.pass();
      return ScriptedServer::answer("late");
    });
    adapters::HttpLimits Limits;
    Limits.DrainTimeout_ = Calls * Step;
    Limits.DrainAcceptTime_ = Calls * Step / 3;
    Limits.DrainIdleTime_ = Calls * Step / 2;
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    std::vector<std::unique_ptr<RawCaller>> Callers;
    for (int I = 0; I < Calls; ++I)
      Callers.push_back(std::make_unique<RawCaller>(Front.port()));
    std::atomic<bool> Ended{false};
    Front.traffic().drain([&] { Ended = true; });
    std::vector<RawCaller::Answer> Answers(Calls);
    std::vector<std::thread> Waiting;
    for (int I = 0; I < Calls; ++I) {
      Callers[I]->send(
          request("POST", "/licence/" + std::to_string(I), "", "x"));
      Waiting.emplace_back([&, I] { Answers[I] = Callers[I]->read(); });
      std::this_thread::sleep_for(Step);
    }
    for (std::thread &Thread : Waiting)
      Thread.join();
    CPPUNIT_ASSERT(eventually([&] { return Ended.load(); }));
    CPPUNIT_ASSERT(countOf(Server, "/licence/0") > 0);
    bool IsRefusing = false;
    for (int I = 0; I < Calls; ++I) {
      const bool Reached = countOf(Server, "/licence/" + std::to_string(I)) > 0;
      IsRefusing = IsRefusing || !Reached;
      CPPUNIT_ASSERT(!Reached || !IsRefusing);
      // One that was passed on may have run, and its caller is told so.
      const unsigned Status = Answers[I].Status_;
      CPPUNIT_ASSERT(Reached ? Status == 504
                             : Answers[I].Closed_ || Status == 503);
    }
    CPPUNIT_ASSERT(IsRefusing);
    Working.open();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         Front.traffic().stats().AbandonedCalls_);
  }

private:
  /// Returns a body that fits into no socket buffer.
  static std::string longBody() {
    const std::string Piece(1048576, 'b');
    std::string Out;
    for (int I = 0; I < 64; ++I)
      Out += Piece;
    return Out;
  }

  static int deadlineMsOf(const Request &Seen) {
    const std::string Name = "X-Deadline-Ms: ";
    const std::size_t At = Seen.Head_.find(Name);
    CPPUNIT_ASSERT(At != std::string::npos);
    return std::stoi(Seen.Head_.substr(At + Name.size()));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StoppingWithOpenConnections);

} // namespace

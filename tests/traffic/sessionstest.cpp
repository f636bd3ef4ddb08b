#include "traffic/calllifecycle.h"
#include "traffic/connectionlifecycle.h"
#include "traffic/golden.h"
#include "traffic/serverlifecycle.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::traffic;
using test::describe;
using test::typeName;

namespace {

/// Feeds events to state machines and records the events and actions as text.
class Transcript {
public:
  void call(const std::string &Name, CallLifecycle &Lifecycle,
            const CallEvent &Event) {
    std::visit([&](const auto &E) { line(Name, " <- ", describe(E)); }, Event);
    for (const CallAction &Action : Lifecycle.process(Event))
      std::visit([&](const auto &A) { line(Name, " -> ", describe(A)); },
                 Action);
  }

  void connection(const std::string &Name, ConnectionLifecycle &Lifecycle,
                  const ConnectionEvent &Event) {
    std::visit(
        [&](const auto &E) {
          line(Name, " <- ", typeName<std::decay_t<decltype(E)>>());
        },
        Event);
    for (const ConnectionAction Action : Lifecycle.process(Event))
      line(Name, " -> ", nameOf(Action));
  }

  void server(const std::string &Name, ServerLifecycle &Lifecycle,
              const ServerEvent &Event) {
    std::visit(
        [&](const auto &E) {
          line(Name, " <- ", typeName<std::decay_t<decltype(E)>>());
        },
        Event);
    for (const ServerAction Action : Lifecycle.process(Event))
      line(Name, " -> ",
           Action == ServerAction::CloseIdle ? "CloseIdle" : "RecordLastCall");
  }

  const std::string &text() const { return Text_; }

private:
  static std::string nameOf(ConnectionAction Action) {
    static const char *const Names[] = {"AddToPool", "ParseAnswer", "ReportEnd",
                                        "ReportFailed", "Close"};
    return Names[static_cast<int>(Action)];
  }

  void line(const std::string &Name, const char *Arrow,
            const std::string &What) {
    Text_ += Name + Arrow + What + "\n";
  }

  std::string Text_;
};

constexpr policy::ServerHandle First = 1;
constexpr policy::ServerHandle Second = 2;

class RecordedSessions : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordedSessions);
  CPPUNIT_TEST(plainCall);
  CPPUNIT_TEST(retryAfterAShedCall);
  CPPUNIT_TEST(drainOfAServer);
  CPPUNIT_TEST(lostConnectionOfANonIdempotentCall);
  CPPUNIT_TEST(hedgeThatWins);
  CPPUNIT_TEST(answerThatBreaksOff);
  CPPUNIT_TEST_SUITE_END();

public:
  void plainCall() {
    Transcript T;
    CallLifecycle Call({/*Idempotent_=*/false, /*Replayable_=*/true});
    ConnectionLifecycle Connection;
    T.connection("connection", Connection, ConnectSucceeded{});
    T.call("call", Call, CallArrived{});
    T.call("call", Call, ServerChosen{First});
    T.connection("connection", Connection, Leased{});
    T.call("call", Call, ConnectionReady{1});
    T.connection("connection", Connection, RequestSent{});
    T.connection("connection", Connection, BytesArrived{});
    T.call("call", Call, AnswerStarted{1});
    T.connection("connection", Connection, AnswerComplete{true, false});
    T.call("call", Call, AnswerEnded{1, false});
    test::compareWithGolden("plain.txt", T.text());
  }

  void retryAfterAShedCall() {
    Transcript T;
    CallLifecycle Call({false, true});
    T.call("call", Call, CallArrived{});
    T.call("call", Call, ServerChosen{First});
    T.call("call", Call, ConnectionReady{1});
    T.call("call", Call, AttemptFailed{1, AttemptState::DeclaredNotRun, false});
    T.call("call", Call, RetryDecided{true});
    T.call("call", Call, ServerChosen{Second});
    T.call("call", Call, AttemptFailed{2, AttemptState::NotSent, false});
    T.call("call", Call, RetryDecided{true});
    T.call("call", Call, ServerChosen{First});
    T.call("call", Call, ConnectionReady{3});
    T.call("call", Call, AnswerStarted{1}); // late: the attempt has ended
    T.call("call", Call, AnswerStarted{3});
    T.call("call", Call, AnswerEnded{3, false});
    test::compareWithGolden("retry.txt", T.text());
  }

  void drainOfAServer() {
    Transcript T;
    ServerLifecycle Server;
    ConnectionLifecycle Busy;
    ConnectionLifecycle Idle;
    CallLifecycle Call({false, true});
    T.server("server", Server, ServerListed{});
    T.connection("busy", Busy, ConnectSucceeded{});
    T.connection("idle", Idle, ConnectSucceeded{});
    T.call("call", Call, CallArrived{});
    T.call("call", Call, ServerChosen{First});
    T.server("server", Server, ServerCallStarted{});
    T.connection("busy", Busy, Leased{});
    T.call("call", Call, ConnectionReady{1});
    T.connection("busy", Busy, RequestSent{});
    T.server("server", Server, ServerLeft{});
    T.connection("idle", Idle, Retired{});
    T.connection("busy", Busy, Retired{}); // carries a call, so it stays open
    T.connection("busy", Busy, BytesArrived{});
    T.call("call", Call, AnswerStarted{1});
    T.connection("busy", Busy, AnswerComplete{true, false});
    T.call("call", Call, AnswerEnded{1, false});
    T.server("server", Server, ServerCallEnded{});
    T.connection("busy", Busy, Retired{});
    test::compareWithGolden("drain.txt", T.text());
  }

  void lostConnectionOfANonIdempotentCall() {
    Transcript T;
    CallLifecycle Call({false, true});
    ConnectionLifecycle Connection;
    T.connection("connection", Connection, ConnectSucceeded{});
    T.call("call", Call, CallArrived{});
    T.call("call", Call, ServerChosen{First});
    T.connection("connection", Connection, Leased{});
    T.call("call", Call, ConnectionReady{1});
    T.connection("connection", Connection, RequestSent{});
    T.connection("connection", Connection, ConnectionBroken{});
    T.call("call", Call, AttemptFailed{1, AttemptState::Lost, false});
    T.connection("connection", Connection, BytesArrived{}); // late
    T.call("call", Call, AnswerStarted{1});                 // late
    T.call("call", Call, DeadlinePassed{});                 // late
    test::compareWithGolden("lost-connection.txt", T.text());
  }

  void hedgeThatWins() {
    Transcript T;
    CallLifecycle Call({true, true});
    T.call("call", Call, CallArrived{});
    T.call("call", Call, ServerChosen{First});
    T.call("call", Call, ConnectionReady{1});
    T.call("call", Call, HedgeDue{});
    T.call("call", Call, HedgeDecided{Second});
    T.call("call", Call, HedgeDue{}); // ignored: a hedge is running
    T.call("call", Call, ConnectionReady{2});
    T.call("call", Call, AnswerStarted{2});
    T.call("call", Call, AnswerStarted{1}); // late
    T.call("call", Call, AnswerEnded{2, false});
    test::compareWithGolden("hedge.txt", T.text());
  }

  void answerThatBreaksOff() {
    Transcript T;
    CallLifecycle Call({true, true});
    T.call("call", Call, CallArrived{});
    T.call("call", Call, ServerChosen{First});
    T.call("call", Call, ConnectionReady{1});
    T.call("call", Call, AnswerStarted{1});
    T.call("call", Call, AttemptFailed{1, AttemptState::Lost, false});
    T.call("call", Call, AnswerEnded{1, false}); // late
    test::compareWithGolden("broken-answer.txt", T.text());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RecordedSessions);

} // namespace

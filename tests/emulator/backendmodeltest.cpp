#include "emulator/answerbody.h"
#include "emulator/backendsettings.h"
#include "emulator/slots.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

using namespace cumingauge;
using namespace cumingauge::emulator;
using model::milliseconds;
using model::TimePoint;

namespace {

class TheSlotsOfABackendServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheSlotsOfABackendServer);
  CPPUNIT_TEST(neverRunMoreWorkThanThereAreSlots);
  CPPUNIT_TEST(startQueuedWorkInArrivalOrder);
  CPPUNIT_TEST(refuseNewWorkWhileDrainingButStartQueuedWork);
  CPPUNIT_TEST(shedWhenTheQueueIsFull);
  CPPUNIT_TEST(refuseWorkWhileColdIfConfigured);
  CPPUNIT_TEST_SUITE_END();

public:
  void neverRunMoreWorkThanThereAreSlots() {
    rc::check([] {
      Behaviour Config;
      Config.Slots_ = *rc::gen::inRange(1u, 5u);
      Config.MaxQueued_ = *rc::gen::inRange(0u, 6u);
      Slots State;
      std::set<WorkId> Running;
      std::set<WorkId> Waiting;
      WorkId Next = 0;
      TimePoint Now;
      for (const bool Arrives :
           *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
        Now += milliseconds(1);
        if (Arrives) {
          const Admission Result = admitWork(State, Config, ++Next, Now);
          if (Result == Admission::Started)
            Running.insert(Next);
          if (Result == Admission::Queued)
            Waiting.insert(Next);
        } else if (!Running.empty()) {
          Running.erase(Running.begin());
          if (const auto Started = endWork(State, Config, Now)) {
            RC_ASSERT(Waiting.erase(*Started) == 1u);
            Running.insert(*Started);
          }
        }
        RC_ASSERT(Running.size() <= Config.Slots_);
        RC_ASSERT(Waiting.size() <= Config.MaxQueued_);
        RC_ASSERT(Waiting.empty() || Running.size() == Config.Slots_);
        RC_ASSERT(State.Running_ == Running.size());
      }
    });
  }

  void startQueuedWorkInArrivalOrder() {
    Behaviour Config;
    Config.Slots_ = 1;
    Slots State;
    admitWork(State, Config, 1, Now_);
    admitWork(State, Config, 2, Now_);
    admitWork(State, Config, 3, Now_);
    admitWork(State, Config, 4, Now_);
    CPPUNIT_ASSERT(removeWaitingWork(State, 3, Now_));
    CPPUNIT_ASSERT(!removeWaitingWork(State, 1, Now_));
    CPPUNIT_ASSERT_EQUAL(WorkId(2), endWork(State, Config, Now_).value());
    CPPUNIT_ASSERT_EQUAL(WorkId(4), endWork(State, Config, Now_).value());
    CPPUNIT_ASSERT(!endWork(State, Config, Now_));
  }

  void refuseNewWorkWhileDrainingButStartQueuedWork() {
    Behaviour Config;
    Config.Slots_ = 1;
    Slots State;
    admitWork(State, Config, 1, Now_);
    admitWork(State, Config, 2, Now_);
    Config.Draining_ = true;
    CPPUNIT_ASSERT(admitWork(State, Config, 3, Now_) == Admission::Draining);
    CPPUNIT_ASSERT_EQUAL(WorkId(2), endWork(State, Config, Now_).value());
  }

  void shedWhenTheQueueIsFull() {
    Behaviour Config;
    Config.Slots_ = 1;
    Config.MaxQueued_ = 1;
    Slots State;
    CPPUNIT_ASSERT(admitWork(State, Config, 1, Now_) == Admission::Started);
    CPPUNIT_ASSERT(admitWork(State, Config, 2, Now_) == Admission::Queued);
    CPPUNIT_ASSERT(admitWork(State, Config, 3, Now_) == Admission::Shed);
  }

  void refuseWorkWhileColdIfConfigured() {
    Behaviour Config;
    Config.ColdRefuses_ = true;
    Config.ColdFor_ = milliseconds(100);
    Slots State;
    State.Started_ = Now_;
    CPPUNIT_ASSERT(admitWork(State, Config, 1, Now_ + milliseconds(99)) ==
                   Admission::Cold);
    CPPUNIT_ASSERT(admitWork(State, Config, 1, Now_ + milliseconds(100)) ==
                   Admission::Started);
  }

private:
  const TimePoint Now_{std::chrono::seconds(1000)};
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheSlotsOfABackendServer);

class TheLoadReportOfABackendServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheLoadReportOfABackendServer);
  CPPUNIT_TEST(showsTheStateOfOneLagAgo);
  CPPUNIT_TEST(isScaledByItsFactorAndCanHideItsAge);
  CPPUNIT_TEST_SUITE_END();

public:
  void showsTheStateOfOneLagAgo() {
    Behaviour Config;
    Config.Slots_ = 2;
    Config.ReportLag_ = milliseconds(50);
    Slots State;
    for (int I = 0; I < 3; ++I)
      admitWork(State, Config, static_cast<WorkId>(I), at(10 * I));
    CPPUNIT_ASSERT_EQUAL(0u, reportLoad(State, Config, at(49)).InFlight_);
    CPPUNIT_ASSERT_EQUAL(1u, reportLoad(State, Config, at(50)).InFlight_);
    CPPUNIT_ASSERT_EQUAL(0u, reportLoad(State, Config, at(69)).Queued_);
    CPPUNIT_ASSERT_EQUAL(1u, reportLoad(State, Config, at(70)).Queued_);
    CPPUNIT_ASSERT(reportLoad(State, Config, at(70)).Age_ == milliseconds(50));
    for (int I = 0; I < 100; ++I) {
      endWork(State, Config, at(1000 + 10 * I));
      admitWork(State, Config, 9, at(1005 + 10 * I));
    }
    CPPUNIT_ASSERT_EQUAL(2u, reportLoad(State, Config, at(2100)).InFlight_);
    CPPUNIT_ASSERT(State.History_.size() < 50);
  }

  void isScaledByItsFactorAndCanHideItsAge() {
    Behaviour Config;
    Config.ReportFactor_ = 0.4;
    Config.ReportLag_ = milliseconds(5);
    Config.ReportTellsAge_ = false;
    Slots State;
    admitWork(State, Config, 1, at(0));
    admitWork(State, Config, 2, at(0));
    admitWork(State, Config, 3, at(0));
    const model::LoadReport Report = reportLoad(State, Config, at(5));
    CPPUNIT_ASSERT_EQUAL(1u, Report.InFlight_);
    CPPUNIT_ASSERT(Report.Age_ == milliseconds(0));
  }

private:
  static TimePoint at(int Ms) {
    return TimePoint(std::chrono::seconds(1000)) + milliseconds(Ms);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheLoadReportOfABackendServer);

class TheServiceTimeOfABackendServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheServiceTimeOfABackendServer);
  CPPUNIT_TEST(takesTheLongestPrefix);
  CPPUNIT_TEST(hasTheMeanOfItsDistribution);
  CPPUNIT_TEST(growsDuringNoisyNeighbourBurstsAndWhileCold);
  CPPUNIT_TEST_SUITE_END();

public:
  void takesTheLongestPrefix() {
    Behaviour Config;
    Config.ServiceTimes_ = {timeFor("/"), timeFor("/a/b"), timeFor("/a")};
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b"),
                         serviceTimeFor(Config, "/a/b/c").PathPrefix_);
    CPPUNIT_ASSERT_EQUAL(std::string("/a"),
                         serviceTimeFor(Config, "/a/c").PathPrefix_);
    CPPUNIT_ASSERT_EQUAL(std::string("/"),
                         serviceTimeFor(Config, "/z").PathPrefix_);
  }

  void hasTheMeanOfItsDistribution() {
    for (const Distribution Kind :
         {Distribution::Fixed, Distribution::Exponential,
          Distribution::Lognormal}) {
      ServiceTime Time;
      Time.Distribution_ = Kind;
      pcg32 Random(7);
      double Sum = 0;
      constexpr int Draws = 20000;
      for (int I = 0; I < Draws; ++I)
        Sum += static_cast<double>(
            drawServiceTime({}, Time, std::chrono::seconds(9), Random).count());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(5e6, Sum / Draws, 0.15e6);
    }
  }

  void growsDuringNoisyNeighbourBurstsAndWhileCold() {
    Behaviour Config;
    Config.Noise_ = {milliseconds(10), milliseconds(4), 3};
    Config.ColdFor_ = milliseconds(20);
    Config.ColdFactor_ = 5;
    ServiceTime Time;
    Time.Distribution_ = Distribution::Fixed;
    pcg32 Random(7);
    const auto Ms = [&](int Age) {
      return drawServiceTime(Config, Time, milliseconds(Age), Random).count() /
             1000000;
    };
    CPPUNIT_ASSERT_EQUAL(75L, Ms(13));
    CPPUNIT_ASSERT_EQUAL(25L, Ms(14));
    CPPUNIT_ASSERT_EQUAL(15L, Ms(23));
    CPPUNIT_ASSERT_EQUAL(5L, Ms(24));
  }

private:
  static ServiceTime timeFor(const std::string &Prefix) {
    ServiceTime Out;
    Out.PathPrefix_ = Prefix;
    return Out;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheServiceTimeOfABackendServer);

class TheAnswerOfABackendServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheAnswerOfABackendServer);
  CPPUNIT_TEST(canBeVerifiedFromAnyPart);
  CPPUNIT_TEST(differsFromTheAnswerOfAnotherCall);
  CPPUNIT_TEST_SUITE_END();

public:
  void canBeVerifiedFromAnyPart() {
    rc::check([] {
      const AnswerBody Body("7x123-0-" +
                            std::to_string(*rc::gen::inRange(0, 1000)));
      const std::size_t Size = *rc::gen::inRange<std::size_t>(1, 2000);
      const std::size_t From = *rc::gen::inRange<std::size_t>(0, Size);
      const std::string Whole = Body.generate(Size);
      std::string Part(Size - From, '\0');
      Body.write(From, Part.data(), Part.size());
      RC_ASSERT(Part == Whole.substr(From));
      RC_ASSERT(Body.matches(From, Part.data(), Part.size()));
      const std::size_t Wrong = *rc::gen::inRange<std::size_t>(0, Part.size());
      Part[Wrong] ^= 1;
      RC_ASSERT(!Body.matches(From, Part.data(), Part.size()));
    });
  }

  void differsFromTheAnswerOfAnotherCall() {
    const std::string Other = AnswerBody("7x123-0-12").generate(100);
    CPPUNIT_ASSERT(!AnswerBody("7x123-0-1").matches(0, Other.data(), 100));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheAnswerOfABackendServer);

class TheSettingsOfBackendServers : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheSettingsOfBackendServers);
  CPPUNIT_TEST(reportEveryProblemWithItsPath);
  CPPUNIT_TEST(letAServerOverrideTheCommonBehaviour);
  CPPUNIT_TEST_SUITE_END();

public:
  void reportEveryProblemWithItsPath() {
    BackendSettings Settings;
    Settings.Behaviour_.CutShare_ = 1.5;
    Settings.Servers_ = {
        {"a", "", "127.0.0.1", 0, codec::Json::object({{"slot", 1}})},
        {"a", "", "127.0.0.1", 0, codec::Json::object({{"slots", 0}})}};
    std::set<std::string> Paths;
    for (const model::Problem &Invalid : checkSettings(Settings))
      Paths.insert(Invalid.Path_);
    const std::set<std::string> Expected = {
        "/behaviour/cutShare",        "/servers/0/behaviour/cutShare",
        "/servers/0/behaviour/slot",  "/servers/1/behaviour/cutShare",
        "/servers/1/behaviour/slots", "/servers/1/name"};
    CPPUNIT_ASSERT(Paths == Expected);
  }

  void letAServerOverrideTheCommonBehaviour() {
    BackendSettings Settings;
    Settings.Behaviour_.SlowFactor_ = 2;
    const ServerSettings Server{"a", "", "127.0.0.1", 0,
                                codec::Json::object({{"slots", 7}})};
    CPPUNIT_ASSERT_EQUAL(7u, behaviourOf(Settings, Server).Slots_);
    CPPUNIT_ASSERT_EQUAL(2.0, behaviourOf(Settings, Server).SlowFactor_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheSettingsOfBackendServers);

} // namespace

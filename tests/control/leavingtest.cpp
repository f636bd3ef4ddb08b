#include "fakefleet.h"
#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::fakes;
using model::seconds;

namespace {

class ALeavingServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ALeavingServer);
  CPPUNIT_TEST(isKnownToAllByItsOwnReport);
  CPPUNIT_TEST(isKnownToAllByTheVmList);
  CPPUNIT_TEST(staysMarkedWhenTheVmListLags);
  CPPUNIT_TEST(isNotMistakenForItsReplacement);
  CPPUNIT_TEST(staysMarkedWhenEveryProcessRestarts);
  CPPUNIT_TEST(comesBackWhenItsMarkExpires);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    for (unsigned I = 0; I < Size; ++I)
      Fleet_.start(I);
    Fleet_.write(model::PutServers{{samples::server("s1"),
                                    samples::server("s2", "vm-2")}},
                 "ops");
    Fleet_.run(seconds(20));
  }

  void isKnownToAllByItsOwnReport() {
    reportLeaving("vm-1");
    Fleet_.run(seconds(1));
    CPPUNIT_ASSERT(allSee(true));
  }

  void isKnownToAllByTheVmList() {
    Fleet_.Store_.Vms_.push_back({"vm-1", true, "backend"});
    Fleet_.run(seconds(5));
    CPPUNIT_ASSERT(allSee(true));
    Fleet_.run(seconds(300)); // the list repeats it before it expires
    CPPUNIT_ASSERT(allSee(true));
  }

  void staysMarkedWhenTheVmListLags() {
    Fleet_.Store_.Vms_.push_back({"vm-1", false, "backend"});
    Fleet_.write(model::MarkLeaving{"s1", "vm-1"}, "ops");
    Fleet_.run(seconds(300));
    CPPUNIT_ASSERT(allSee(true));
  }

  void isNotMistakenForItsReplacement() {
    reportLeaving("vm-1");
    Fleet_.write(model::MarkLeaving{"s1", "vm-1"}, "ops");
    Fleet_.run(seconds(1));
    Fleet_.write(model::PutServer{samples::server("s1", "vm-7")}, "ops");
    Fleet_.run(seconds(1));
    CPPUNIT_ASSERT(allSee(false));
    reportLeaving("vm-1"); // a late report by the server that left
    Fleet_.run(seconds(1));
    CPPUNIT_ASSERT(allSee(false));
  }

  void staysMarkedWhenEveryProcessRestarts() {
    Fleet_.write(model::MarkLeaving{"s1", "vm-1"}, "ops");
    Fleet_.run(seconds(1));
    for (unsigned I = 0; I < Size; ++I)
      Fleet_.kill(I);
    for (unsigned I = 0; I < Size; ++I)
      Fleet_.start(I);
    Fleet_.run(seconds(5));
    CPPUNIT_ASSERT(allSee(true));
  }

  void comesBackWhenItsMarkExpires() {
    reportLeaving("vm-1");
    Fleet_.run(seconds(130));
    CPPUNIT_ASSERT(allSee(false));
  }

private:
  void reportLeaving(const std::string &Vm) {
    control::ServerObservation Report;
    Report.Server_ = "s1";
    Report.Vm_ = Vm;
    Report.Report_.Draining_ = true;
    Fleet_.feed(2, control::ServerReportReceived{Report});
  }

  bool allSee(bool IsLeaving) {
    for (const FakeProcess &Process : Fleet_.Processes_)
      if ((Process.View_->LeavingServers_.count("s1") > 0) != IsLeaving)
        return false;
    return true;
  }

  static constexpr unsigned Size = 6;
  FakeFleet Fleet_{Size, 31};
};
CPPUNIT_TEST_SUITE_REGISTRATION(ALeavingServer);

} // namespace

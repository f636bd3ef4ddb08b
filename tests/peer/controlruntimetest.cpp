#include "adapters/storeclient.h"
#include "control/changewriter.h"
#include "localfleet.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using testing::LocalFleet;
using testing::waitFor;

namespace {

/// Writes a change to the store as an operator's client does. Returns its
/// version.
std::uint64_t writeChange(const LocalFleet &Fleet, const std::string &Id,
                          const model::ChangeAction &Action) {
  boost::asio::io_context Io;
  adapters::HttpClientSettings Settings;
  Settings.Port_ = Fleet.Store_.port();
  const ports::Store Store = adapters::makeStoreClient(Io, Settings);
  const auto Now = [] { return std::chrono::steady_clock::now(); };
  control::WriteRequest Request;
  Request.Id_ = Id;
  Request.Author_ = "ops";
  Request.Action_ = Action;
  control::ChangeWriter Writer = control::startWrite(Request, {}, Now());
  while (true) {
    const control::WriterStep Step = control::nextStep(Writer, Now());
    if (Step.Outcome_)
      return std::get<control::WriteAccepted>(*Step.Outcome_).Change_.Version_;
    Store.Execute_(*Step.Request_, [&](const ports::StoreResponse &Answer) {
      control::handleResponse(Writer, Answer, Now());
    });
    Io.restart();
    Io.run();
  }
}

model::PutServer makeServer(const std::string &Name) {
  return {{Name, Name + "-vm", "catalogue", "zone-a", "127.0.0.1", 9000, 3}};
}

class ControlRuntimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlRuntimeTest);
  CPPUNIT_TEST(appliesAChangeOnAllProcesses);
  CPPUNIT_TEST(hasAFreshViewAfterAChange);
  CPPUNIT_TEST(sendsTheStateToANewProcessWhileTheStoreIsDown);
  CPPUNIT_TEST(appliesChangesAfterAMemberHasLeft);
  CPPUNIT_TEST_SUITE_END();

public:
  void appliesAChangeOnAllProcesses() {
    LocalFleet Fleet(4);
    writeChange(Fleet, "c-1", makeServer("catalogue-1"));
    const std::uint64_t Version =
        writeChange(Fleet, "c-2", makeServer("catalogue-2"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Version);
    CPPUNIT_ASSERT(Fleet.reaches(Version));
    for (const auto &Process : Fleet.Processes_)
      CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                           Process->view()->Config_->Servers_.size());
  }

  void hasAFreshViewAfterAChange() {
    LocalFleet Fleet(3);
    writeChange(Fleet, "c-1", makeServer("catalogue-1"));
    CPPUNIT_ASSERT(Fleet.reaches(1));
    for (const auto &Process : Fleet.Processes_)
      CPPUNIT_ASSERT(waitFor([&] { return Process->isFresh(); }));
  }

  void sendsTheStateToANewProcessWhileTheStoreIsDown() {
    LocalFleet Fleet(3);
    writeChange(Fleet, "c-1", makeServer("catalogue-1"));
    CPPUNIT_ASSERT(Fleet.reaches(1));
    Fleet.Store_.injectFaults({{"down", true}});
    const testing::LocalProcess &Late = Fleet.add("late");
    CPPUNIT_ASSERT(waitFor([&] { return Late.version() == 1; }));
    CPPUNIT_ASSERT(!Late.view()->Confirmed_);
    Fleet.Store_.injectFaults({{"down", false}});
    CPPUNIT_ASSERT(waitFor([&] { return Late.view()->Confirmed_; }));
  }

  void appliesChangesAfterAMemberHasLeft() {
    LocalFleet Fleet(3);
    writeChange(Fleet, "c-1", makeServer("catalogue-1"));
    CPPUNIT_ASSERT(Fleet.reaches(1));
    Fleet.Processes_.erase(Fleet.Processes_.begin());
    CPPUNIT_ASSERT(
        waitFor([&] { return Fleet.Processes_[0]->view()->FleetSize_ == 2; }));
    const std::uint64_t Version =
        writeChange(Fleet, "c-2", makeServer("catalogue-2"));
    CPPUNIT_ASSERT(Fleet.reaches(Version));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ControlRuntimeTest);

} // namespace

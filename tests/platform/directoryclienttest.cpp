#include "platform/directoryclient.h"
#include "emulator/httpserver.h"
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace cumingauge;
using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryResponse;

namespace {

/// A store that gives the same answer to each call, and a client of it.
class CannedStore {
public:
  explicit CannedStore(const emulator::HttpAnswer &Answer)
      : Server_(Io_,
                [Answer](const std::shared_ptr<emulator::HttpExchange> &Call) {
                  Call->Answer_(Answer);
                }) {
    platform::PlatformSettings Settings;
    Settings.Store_.Host_ = "127.0.0.1";
    Settings.Store_.Port_ = Server_.listen("127.0.0.1", 0);
    Client_ = platform::makeDirectory(Io_, Settings, {});
  }

  DirectoryResponse call(DirectoryOperation Operation) {
    DirectoryRequest Request;
    Request.Operation_ = Operation;
    std::optional<DirectoryResponse> Out;
    Client_.Execute_(Request,
                     [&](const DirectoryResponse &Read) { Out = Read; });
    Io_.restart();
    while (!Out && Io_.run_one() > 0) {
    }
    CPPUNIT_ASSERT(Out.has_value());
    return *Out;
  }

private:
  boost::asio::io_context Io_{1};
  emulator::HttpServer Server_;
  ports::Directory Client_;
};

emulator::HttpAnswer answer(unsigned Status, const std::string &Era) {
  emulator::HttpAnswer Out;
  Out.Status_ = Status;
  Out.Body_ = R"({"at":95})";
  if (!Era.empty())
    Out.Fields_.push_back({"Store-Era", Era});
  return Out;
}

class DirectoryClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryClientTest);
  CPPUNIT_TEST(readsTheEraOfEveryResponse);
  CPPUNIT_TEST(ignoresAnEraThatIsAbsentOrNoNumber);
  CPPUNIT_TEST(readsTheRevisionOfAPing);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsTheEraOfEveryResponse() {
    for (const unsigned Status : {200U, 404U, 410U, 429U, 503U})
      for (const auto Operation :
           {DirectoryOperation::Read, DirectoryOperation::Watch,
            DirectoryOperation::Announce, DirectoryOperation::Ping})
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            std::to_string(Status), std::uint64_t(7),
            CannedStore(answer(Status, "7")).call(Operation).Era_);
  }

  void ignoresAnEraThatIsAbsentOrNoNumber() {
    for (const char *Era : {"", "seven", "-7", "7a", "99999999999999999999"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Era, std::uint64_t(0),
          CannedStore(answer(200, Era)).call(DirectoryOperation::Read).Era_);
  }

  void readsTheRevisionOfAPing() {
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(95),
        CannedStore(answer(404, "7")).call(DirectoryOperation::Ping).Revision_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryClientTest);

} // namespace

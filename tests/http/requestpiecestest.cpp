#include "adapters/httprequestreader.h"
#include "http/frontend.h"
#include "http/scriptedserver.h"
#include "support/piecewisereader.h"
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::test;
using adapters::ReadStep;
using PiecewiseReader = testing::PiecewiseReader<adapters::RequestReader>;

namespace {

const std::string Head =
    request("POST", "/licence/7", "Transfer-Encoding: chunked\r\n");

/// A chunked request whose bytes arrive in pieces.
class RequestInPieces : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestInPieces);
  CPPUNIT_TEST(isReadWhereverItIsCut);
  CPPUNIT_TEST(isRefusedWhenAFieldOfItsTrailersIsTooLong);
  CPPUNIT_TEST(endsNoOtherCallWhenItsLastChunkIsCut);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against the end of the process when the last chunk of a body
  /// arrives in two pieces.
  void isReadWhereverItIsCut() {
    for (const std::string &Body :
         {std::string("0\r\n\r\n"), std::string("5\r\nhello\r\n0\r\n\r\n"),
          std::string("5;a=b\r\nhello\r\n0000\r\nX-A: 1\r\n\r\n")}) {
      const std::string Whole = Head + Body;
      for (std::size_t Cut = 1; Cut < Whole.size(); ++Cut)
        for (std::size_t Next = Cut + 1; Next <= Whole.size(); ++Next) {
          PiecewiseReader Reader;
          Reader.feed(Whole.substr(0, Cut));
          ReadStep Last = Reader.feed(Whole.substr(Cut, Next - Cut));
          if (Next < Whole.size())
            Last = Reader.feed(Whole.substr(Next));
          CPPUNIT_ASSERT(Last == ReadStep::End);
          CPPUNIT_ASSERT_EQUAL(std::string(Body.size() > 5 ? "hello" : ""),
                               Reader.body());
        }
    }
  }

  /// Guards against the end of the process by a field that the parser cannot
  /// store.
  void isRefusedWhenAFieldOfItsTrailersIsTooLong() {
    PiecewiseReader Reader;
    Reader.feed(Head + "0\r\nX-A: " + std::string(10000, 'a'));
    CPPUNIT_ASSERT(Reader.feed(std::string(65000, 'a') + "\r\n\r\n") ==
                   ReadStep::Failed);
  }

  /// Guards against the loss of all calls of a process through one caller.
  void endsNoOtherCallWhenItsLastChunkIsCut() {
    Gate Answers;
    ScriptedServer Server([&](const ScriptedServer::Request &) {
      Answers.pass();
      return ScriptedServer::answer("done");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Waiting(Front.port());
    Waiting.send(request("GET", "/search/7"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 1; }));
    RawCaller Slow(Front.port());
    Slow.send(Head + "0\r\n");
    // Lets the process read the first piece alone; a later one would pass too.
    std::this_thread::sleep_for(model::milliseconds(50));
    Slow.send("\r");
    std::this_thread::sleep_for(model::milliseconds(50));
    Answers.open();
    CPPUNIT_ASSERT_EQUAL(200U, Waiting.read().Status_);
    Slow.send("\n");
    CPPUNIT_ASSERT_EQUAL(200U, Slow.read().Status_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestInPieces);

} // namespace

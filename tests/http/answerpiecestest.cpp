#include "adapters/httpanswerreader.h"
#include "support/piecewisereader.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using adapters::ReadStep;
using PiecewiseReader = testing::PiecewiseReader<adapters::AnswerReader>;

namespace {

const std::string Head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A chunked answer whose bytes arrive in pieces.
class AnswerInPieces : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerInPieces);
  CPPUNIT_TEST(isReadWhereverItIsCut);
  CPPUNIT_TEST(isGivenUpWhenAFieldOfItsTrailersIsTooLong);
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
  void isGivenUpWhenAFieldOfItsTrailersIsTooLong() {
    PiecewiseReader Reader;
    Reader.feed(Head + "0\r\nX-A: " + std::string(10000, 'a'));
    CPPUNIT_ASSERT(Reader.feed(std::string(65000, 'a') + "\r\n\r\n") ==
                   ReadStep::Failed);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswerInPieces);

} // namespace

#include "adapters/boundedoutput.h"
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace cumingauge;

namespace {

constexpr std::size_t Limit = 20000;

/// A pipe of which the test is the reader; it reads only in readAll().
struct Pipe {
  Pipe() {
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(Ends_));
    ::fcntl(Ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    ::close(Ends_[0]);
    ::close(Ends_[1]);
  }

  std::string readAll() const {
    std::string Out;
    char Bytes[65536];
    for (ssize_t Count = 0;
         (Count = ::read(Ends_[0], Bytes, sizeof(Bytes))) > 0;)
      Out.append(Bytes, static_cast<std::size_t>(Count));
    return Out;
  }

  int Ends_[2] = {};
};

class LogOutput : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogOutput);
  CPPUNIT_TEST(writesLinesInOrder);
  CPPUNIT_TEST(doesNotBlockWhenTheReaderStops);
  CPPUNIT_TEST(reportsTheNumberOfDroppedLines);
  CPPUNIT_TEST_SUITE_END();

public:
  void writesLinesInOrder() {
    Pipe Reader;
    adapters::BoundedOutput Output(Reader.Ends_[1], Limit);
    Output.push("first");
    Output.push("second");
    Output.flush();
    CPPUNIT_ASSERT_EQUAL(std::string("first\nsecond\n"), Reader.readAll());
  }

  /// Pushes far more lines than the pipe and the limit hold. The test would
  /// hang if a write waited for the reader.
  void doesNotBlockWhenTheReaderStops() {
    Pipe Reader;
    adapters::BoundedOutput Output(Reader.Ends_[1], Limit);
    const std::string Line(100, 'x');
    for (int I = 0; I < 10000; ++I)
      Output.push(Line);
    CPPUNIT_ASSERT(Output.dropped() > 0);
  }

  void reportsTheNumberOfDroppedLines() {
    Pipe Reader;
    adapters::BoundedOutput Output(Reader.Ends_[1], Limit);
    const std::string Line(100, 'x');
    while (Output.dropped() < 5)
      Output.push(Line);
    std::string Seen = Reader.readAll();
    Output.flush();
    Output.push("after");
    Output.flush();
    Seen += Reader.readAll();
    CPPUNIT_ASSERT(Seen.find("\"log lines dropped\",\"count\":5}\nafter\n") !=
                   std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogOutput);

} // namespace

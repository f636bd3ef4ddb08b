#include "http/frontend.h"
#include "platform/dialect.h"
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::test;
using boost::asio::ip::tcp;

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                         "Response-Signature: s\r\n";
/// More than the socket buffers of both sides hold.
constexpr std::size_t UploadBytes = 64 * 1024 * 1024;
/// Time for the process to fill the socket buffers with the upload.
constexpr model::milliseconds UploadTime{200};

/// How a server ends the connection after its answer.
enum class Ending { Reset, Finish, FinishAndReset };

/// A server that answers one upload as soon as it has read its head, reads no
/// more and ends the connection while the upload is being written.
class EarlyServer {
public:
  EarlyServer(std::string Answer, Ending How)
      : Acceptor_(Io_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        Thread_(
            [this, Answer = std::move(Answer), How] { serve(Answer, How); }) {}

  ~EarlyServer() { Thread_.join(); }

  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }

private:
  void serve(const std::string &Answer, Ending How) {
    boost::system::error_code Ignored;
    tcp::socket Connection(Io_);
    std::string Read;
    // Connections that are opened ahead of any request carry nothing.
    while (Read.empty()) {
      Connection = tcp::socket(Io_);
      Acceptor_.accept(Connection, Ignored);
      boost::asio::read_until(Connection, boost::asio::dynamic_buffer(Read),
                              "\r\n\r\n", Ignored);
    }
    boost::asio::write(Connection, boost::asio::buffer(Answer), Ignored);
    std::this_thread::sleep_for(UploadTime);
    if (How != Ending::Reset)
      Connection.shutdown(tcp::socket::shutdown_send, Ignored);
    if (How == Ending::Finish)
      std::this_thread::sleep_for(UploadTime);
    Connection.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    Connection.close(Ignored);
  }

  boost::asio::io_context Io_;
  tcp::acceptor Acceptor_;
  std::thread Thread_;
};

/// Returns what the caller of a long upload gets from such a server.
/// \param Kept bytes of an answer that are kept until it is whole.
RawCaller::Answer upload(const std::string &Answer, Ending How, unsigned Kept) {
  EarlyServer Server(Answer, How);
  adapters::HttpLimits Limits;
  Limits.KeptAnswerBytes_ = Kept;
  FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1,
                 platform::platformDialect());
  RawCaller Caller(Front.port());
  std::thread Sender([&] {
    Caller.send(request("POST", "/bulk", "Attempt-Id: a1\r\n",
                        std::string(UploadBytes, 'u')));
  });
  const auto Got = Caller.read();
  Caller.disconnect();
  Sender.join();
  return Got;
}

/// An answer that comes while the call's body is still being sent.
class AnswerToAnUnfinishedUpload : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerToAnUnfinishedUpload);
  CPPUNIT_TEST(isNotWholeWhenItsConnectionIsReset);
  CPPUNIT_TEST(isWholeWhenItsServerHasFinished);
  CPPUNIT_TEST(isRefusedForAStatusThatIsNone);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a reset that only the writer sees, so that the reader takes
  /// it for the end of an answer without length.
  void isNotWholeWhenItsConnectionIsReset() {
    for (const std::string &Framing :
         {std::string(), std::string("Content-Length: 9\r\n"),
          std::string("Transfer-Encoding: chunked\r\n")})
      for (const unsigned Kept : {0U, 65536U}) {
        const auto Got =
            upload(Head + Framing + "\r\npartial", Ending::Reset, Kept);
        CPPUNIT_ASSERT_MESSAGE(Framing, !Got.Whole_ || Got.Status_ == 502);
      }
  }

  void isWholeWhenItsServerHasFinished() {
    for (const Ending How : {Ending::Finish, Ending::FinishAndReset})
      for (const unsigned Kept : {0U, 65536U}) {
        const auto Got = upload(Head + "\r\nwhole", How, Kept);
        CPPUNIT_ASSERT_EQUAL(200U, Got.Status_);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), Got.Body_);
        CPPUNIT_ASSERT(Got.Whole_);
      }
  }

  void isRefusedForAStatusThatIsNone() {
    const std::string Answer = "HTTP/1.1 000 Trouble" + Head.substr(15);
    const auto Got = upload(Answer + "\r\nwhole", Ending::Finish, 65536);
    CPPUNIT_ASSERT_EQUAL(502U, Got.Status_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswerToAnUnfinishedUpload);

} // namespace

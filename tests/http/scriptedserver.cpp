#include "http/scriptedserver.h"
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace cumingauge::test {

using boost::asio::ip::tcp;
namespace beast = boost::beast;

ScriptedServer::ScriptedServer(Script Answer)
    : Acceptor_(Io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      Answer_(std::move(Answer)), Port_(Acceptor_.local_endpoint().port()) {
  AcceptThread_ = std::thread([this] { acceptAll(); });
}

ScriptedServer::~ScriptedServer() {
  Stopping_ = true;
  boost::system::error_code Ignored;
  tcp::socket Waker(Io_);
  Waker.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), Port_),
                Ignored);
  AcceptThread_.join();
  for (const auto &Connection : ConnectionSockets_)
    Connection->shutdown(tcp::socket::shutdown_both, Ignored);
  for (std::thread &Thread : ConnectionThreads_)
    Thread.join();
}

std::vector<ScriptedServer::Request> ScriptedServer::requests() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Requests_;
}

std::vector<std::string> ScriptedServer::heads() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Heads_;
}

std::string ScriptedServer::answer(const std::string &Body,
                                   const std::string &Fields,
                                   const std::string &Status) {
  return "HTTP/1.1 " + Status + "\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

void ScriptedServer::acceptAll() {
  while (true) {
    boost::system::error_code Error;
    const auto Connection = std::make_shared<tcp::socket>(Io_);
    Acceptor_.accept(*Connection, Error);
    if (Error || Stopping_)
      return;
    const unsigned Number = ++Connections_;
    ConnectionSockets_.push_back(Connection);
    ConnectionThreads_.emplace_back(
        [this, Connection, Number] { serve(*Connection, Number); });
  }
}

void ScriptedServer::serve(Socket &Connection, unsigned Number) {
  beast::flat_buffer Buffer;
  boost::system::error_code Error;
  while (true) {
    beast::http::request_parser<beast::http::string_body> Parser;
    Parser.body_limit(boost::none);
    beast::http::read_header(Connection, Buffer, Parser, Error);
    Request Seen;
    if (!Error) {
      std::ostringstream Head;
      Head << Parser.get().base();
      Seen.Head_ = Head.str();
      {
        const std::lock_guard<std::mutex> Lock(Mutex_);
        Heads_.push_back(Seen.Head_);
      }
      beast::http::read(Connection, Buffer, Parser, Error);
    }
    if (Error) {
      ++EndedByPeer_;
      return;
    }
    Seen.Body_ = Parser.get().body();
    Seen.Connection_ = Number;
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Seen.Number_ = static_cast<unsigned>(Requests_.size()) + 1;
      Requests_.push_back(Seen);
    }
    const std::string Answer = Answer_(Seen);
    if (Answer.empty()) {
      Connection.shutdown(tcp::socket::shutdown_both, Error);
      ++ClosedHere_;
      return;
    }
    boost::asio::write(Connection, boost::asio::buffer(Answer), Error);
    ++Answers_;
    std::this_thread::sleep_for(TrailingDelay_);
    for (std::size_t I = 0; I < TrailingCount_ && !Error; ++I)
      TrailingBytes_ += boost::asio::write(
          Connection, boost::asio::buffer(TrailingPiece_), Error);
    if (Error || CloseAfterAnswer_) {
      Connection.shutdown(tcp::socket::shutdown_both, Error);
      ++ClosedHere_;
      return;
    }
  }
}

} // namespace cumingauge::test

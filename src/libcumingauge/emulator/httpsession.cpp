#include "emulator/httpsession.h"
#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace cumingauge::emulator {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t ChunkBytes = 65536;

std::string headerText(const HttpAnswer &Answer, std::uint64_t Length,
                       bool Chunked, bool KeepAlive) {
  http::response_header<> Header;
  Header.version(11);
  Header.result(Answer.Status_);
  for (const HttpField &Field : Answer.Fields_)
    Header.insert(Field.Name_, Field.Value_);
  if (Chunked)
    Header.set(http::field::transfer_encoding, "chunked");
  else
    Header.set(http::field::content_length, std::to_string(Length));
  if (!KeepAlive)
    Header.set(http::field::connection, "close");
  std::ostringstream Text;
  Text << Header;
  return Text.str();
}

} // namespace

HttpSession::HttpSession(
    asio::ip::tcp::socket Socket, HttpHandler Handler,
    std::uint64_t KeptBodyBytes,
    std::function<void(const std::shared_ptr<HttpSession> &)> OnClosed)
    : Socket_(std::move(Socket)), Handler_(std::move(Handler)),
      KeptBodyBytes_(KeptBodyBytes), OnClosed_(std::move(OnClosed)) {}

void HttpSession::start(model::microseconds ConnectionCost) {
  error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  if (ConnectionCost.count() <= 0)
    return readHeader();
  auto Timer = std::make_shared<asio::steady_timer>(Socket_.get_executor(),
                                                    ConnectionCost);
  Timer->async_wait([Self = shared_from_this(), Timer](error_code) {
    if (!Self->Closed_)
      Self->readHeader();
  });
}

void HttpSession::close(bool Reset) {
  if (Closed_)
    return;
  Closed_ = true;
  const auto Self = shared_from_this();
  error_code Ignored;
  if (Reset)
    Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
  else
    Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  Socket_.close(Ignored);
  if (const auto Exchange = std::move(Exchange_)) {
    if (Exchange->OnDisconnect_)
      Exchange->OnDisconnect_();
    Exchange->OnDisconnect_ = nullptr;
  }
  OnClosed_(Self);
}

void HttpSession::readHeader() {
  Parser_.emplace();
  Parser_->body_limit(boost::none);
  http::async_read_header(
      Socket_, Buffer_, *Parser_,
      [Self = shared_from_this()](error_code Error, std::size_t) {
        if (Self->Closed_)
          return;
        if (Error)
          return Self->close(false);
        Self->continueOrReadBody();
      });
}

void HttpSession::continueOrReadBody() {
  const auto &Message = Parser_->get();
  Exchange_ = std::make_shared<HttpExchange>();
  HttpRequest &Request = Exchange_->Request_;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  HeadOnly_ = Message.method() == http::verb::head;
  KeepAlive_ = Message.keep_alive();
  const auto Expect = Message.find(http::field::expect);
  if (Expect == Message.end())
    return readBody();
  Out_ = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(Socket_, asio::buffer(Out_),
                    [Self = shared_from_this()](error_code Error, std::size_t) {
                      if (!Error && !Self->Closed_)
                        Self->readBody();
                    });
}

void HttpSession::readBody() {
  if (Parser_->is_done())
    return dispatch();
  Chunk_.resize(ChunkBytes);
  auto &Body = Parser_->get().body();
  Body.data = Chunk_.data();
  Body.size = Chunk_.size();
  http::async_read_some(
      Socket_, Buffer_, *Parser_,
      [Self = shared_from_this()](error_code Error, std::size_t) {
        if (Self->Closed_)
          return;
        if (Error && Error != http::error::need_buffer)
          return Self->close(false);
        HttpRequest &Request = Self->Exchange_->Request_;
        const std::size_t Got =
            Self->Chunk_.size() - Self->Parser_->get().body().size;
        Request.BodyBytes_ += Got;
        const std::size_t Remaining = static_cast<std::size_t>(
            Self->KeptBodyBytes_ - Request.Body_.size());
        Request.Body_.append(Self->Chunk_.data(), std::min(Got, Remaining));
        Self->readBody();
      });
}

void HttpSession::dispatch() {
  const auto Exchange = Exchange_;
  // Weak pointers, so that a handler that keeps the exchange does not keep the
  // closed session.
  const std::weak_ptr<HttpSession> Weak = weak_from_this();
  const std::weak_ptr<HttpExchange> WeakExchange = Exchange;
  const auto Executor = Socket_.get_executor();
  Exchange->Answer_ = [Weak, WeakExchange, Executor](HttpAnswer Answer) {
    asio::dispatch(Executor, [Weak, WeakExchange, Answer = std::move(Answer)] {
      if (const auto Self = Weak.lock())
        Self->answer(WeakExchange.lock(), Answer);
    });
  };
  Exchange->Drop_ = [Weak, WeakExchange, Executor](bool Reset) {
    asio::dispatch(Executor, [Weak, WeakExchange, Reset] {
      const auto Self = Weak.lock();
      if (Self && Self->Exchange_ && Self->Exchange_ == WeakExchange.lock()) {
        Self->Exchange_->OnDisconnect_ = nullptr;
        Self->close(Reset);
      }
    });
  };
  watchForDisconnect();
  Handler_(Exchange);
}

void HttpSession::watchForDisconnect() {
  if (IsPeerWatched_)
    return;
  IsPeerWatched_ = true;
  Socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [Self = shared_from_this()](error_code Error) {
                       Self->IsPeerWatched_ = false;
                       if (Self->Closed_ || Error || !Self->Exchange_)
                         return;
                       char Byte;
                       error_code Peek;
                       Self->Socket_.non_blocking(true, Peek);
                       Self->Socket_.receive(asio::buffer(&Byte, 1),
                                             asio::socket_base::message_peek,
                                             Peek);
                       if (Peek && Peek != asio::error::would_block)
                         Self->close(false);
                     });
}

void HttpSession::answer(const std::shared_ptr<HttpExchange> &Exchange,
                         HttpAnswer Answer) {
  if (Closed_ || !Exchange || Exchange != Exchange_)
    return;
  Exchange_->OnDisconnect_ = nullptr;
  Exchange_.reset();
  Answer_ = std::move(Answer);
  const std::uint64_t Length =
      Answer_.Source_ ? Answer_.SourceBytes_ : Answer_.Body_.size();
  KeepAlive_ = KeepAlive_ && !Answer_.Close_ && !Answer_.CutAfter_;
  const bool Chunked = Answer_.Chunked_ && Answer_.Source_;
  Out_ = headerText(Answer_, Length, Chunked, KeepAlive_);
  Written_ = 0;
  ToWrite_ = HeadOnly_ ? 0 : Length;
  if (Answer_.CutAfter_)
    ToWrite_ = std::min(ToWrite_, *Answer_.CutAfter_);
  if (!Answer_.Source_) {
    Out_.append(Answer_.Body_, 0, static_cast<std::size_t>(ToWrite_));
    Written_ = ToWrite_;
    if (Answer_.Twice_)
      Out_ += std::string(Out_);
  }
  writeBody();
}

void HttpSession::writeBody() {
  const bool Chunked = Answer_.Chunked_ && Answer_.Source_ && !HeadOnly_;
  const std::size_t Size = static_cast<std::size_t>(
      std::min<std::uint64_t>(ChunkBytes, ToWrite_ - Written_));
  if (Size > 0) {
    if (Chunked) {
      std::ostringstream Prefix;
      Prefix << std::hex << Size << "\r\n";
      Out_ += Prefix.str();
    }
    const std::size_t Start = Out_.size();
    Out_.resize(Start + Size);
    Answer_.Source_(Written_, Out_.data() + Start, Size);
    Written_ += Size;
    if (Chunked)
      Out_ += "\r\n";
  }
  const bool Last = Written_ == ToWrite_;
  if (Last && Chunked && !Answer_.CutAfter_)
    Out_ += "0\r\n\r\n";
  asio::async_write(
      Socket_, asio::buffer(Out_),
      [Self = shared_from_this(), Last](error_code Error, std::size_t) {
        if (Self->Closed_)
          return;
        if (Error)
          return Self->close(false);
        Self->Out_.clear();
        return Last ? Self->finishAnswer() : Self->writeBody();
      });
}

void HttpSession::finishAnswer() {
  Answer_ = {};
  if (!KeepAlive_)
    return close(false);
  readHeader();
}

} // namespace cumingauge::emulator

#include "callerconnection.h"
#include "adapters/httpanswersyntax.h"
#include "model/resultcode.h"
#include "traffic/headers.h"
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace cumingauge::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace headers = traffic::headers;
using boost::system::error_code;
using emulator::OutcomeKind;

namespace {

constexpr std::size_t ChunkBytes = 65536;
constexpr unsigned FirstErrorStatus = 400;

/// Returns the number of the result code in the header; -1 for none.
int resultCodeOf(const http::response_header<> &Header) {
  const auto Found = Header.find(headers::ResultCode);
  int Code = -1;
  if (Found != Header.end())
    std::from_chars(Found->value().data(),
                    Found->value().data() + Found->value().size(), Code);
  return Code;
}

/// Returns true when the answer carries the id of another call.
bool isForeignId(const http::response_header<> &Header,
                 const std::string &Call) {
  const auto Found = Header.find(headers::CallId);
  return Found != Header.end() && Found->value() != Call;
}

/// Returns whether a head is well-formed and not that of an interim answer.
bool isFinalAnswer(const adapters::ParsedAnswer &Parsed) {
  return adapters::findHeadFault(Parsed) == model::AnswerFault::None &&
         !adapters::isInterimStatus(Parsed.get().result_int());
}

/// Classifies a complete answer by its result code, or by its status and header
/// fields when it has none.
OutcomeKind outcomeKindOf(const http::response_header<> &Header, int Code) {
  const auto Named = static_cast<model::ResultCode>(Code);
  if (Code > 0 && model::isNotRun(Named))
    return OutcomeKind::NotRun;
  if (Code > 0 && model::isOutcomeUnknown(Named))
    return OutcomeKind::Unknown;
  if (Code > 0)
    return OutcomeKind::Refused;
  if (Header.result_int() < FirstErrorStatus)
    return OutcomeKind::Answer;
  if (Header.find(headers::NotRun) != Header.end())
    return OutcomeKind::NotRun;
  return Header.find(headers::ServerVm) != Header.end()
             ? OutcomeKind::ServerError
             : OutcomeKind::Unnamed;
}

} // namespace

CallerConnection::CallerConnection(asio::io_context &Context,
                                   std::uint32_t Entry, const Hooks &Events)
    : Stream_(Context), Entry_(Entry), Hooks_(Events) {}

void CallerConnection::connect(const emulator::EntryAddress &Address,
                               model::TimePoint Deadline,
                               std::function<void(bool)> OnConnected) {
  Stream_.expires_at(Deadline);
  Stream_.async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address(Address.Host_),
                              Address.Port_),
      [Self = shared_from_this(),
       OnConnected = std::move(OnConnected)](error_code Error) {
        error_code Ignored;
        if (!Error)
          Self->Stream_.socket().set_option(asio::ip::tcp::no_delay(true),
                                            Ignored);
        OnConnected(!Error);
      });
}

void CallerConnection::send(const std::shared_ptr<ActiveCall> &Call,
                            ResultHandler OnDone) {
  Call_ = Call;
  OnDone_ = std::move(OnDone);
  Expected_.emplace(Call->Call_);
  const emulator::LoadRoute &Route = *Call->Route_;
  Request_ = {};
  Request_.method_string(Route.Method_);
  const char *Separator =
      Route.Path_.find('?') == std::string::npos ? "?" : "&";
  Request_.target(Route.Path_ + Separator +
                  "bytes=" + std::to_string(Route.AnswerBytes_));
  Request_.set(http::field::host, "cumingauge");
  Request_.set(headers::CallId, Call->Call_);
  Request_.set(headers::Caller, Call->Caller_);
  if (Route.Deadline_.count() > 0)
    Request_.set(headers::DeadlineMs, std::to_string(Route.Deadline_.count()));
  Request_.body() = Expected_->generate(Route.RequestBytes_);
  if (Route.RequestBytes_ > 0 || Route.Method_ != "GET")
    Request_.prepare_payload();
  Stream_.expires_at(Call->Deadline_);
  http::async_write(Stream_, Request_,
                    [Self = shared_from_this()](error_code Error, std::size_t) {
                      if (Error)
                        return Self->fail(Error, OutcomeKind::ConnectionLost);
                      Self->readHeader();
                    });
}

void CallerConnection::readHeader() {
  Parser_.emplace();
  Parser_->body_limit(boost::none);
  BodyBytes_ = 0;
  BodyMatches_ = true;
  http::async_read_header(
      Stream_, Buffer_, *Parser_,
      [Self = shared_from_this()](error_code Error, std::size_t) {
        if (Error)
          return Self->fail(Error, Self->Parser_->got_some()
                                       ? OutcomeKind::BrokenAnswer
                                       : OutcomeKind::ConnectionLost);
        if (!isFinalAnswer(*Self->Parser_))
          return Self->fail({}, OutcomeKind::BrokenAnswer);
        Self->readBody();
      });
}

void CallerConnection::readBody() {
  if (Parser_->is_done())
    return checkAnswer();
  Chunk_.resize(ChunkBytes);
  auto &Body = Parser_->get().body();
  Body.data = Chunk_.data();
  Body.size = Chunk_.size();
  http::async_read_some(
      Stream_, Buffer_, *Parser_,
      [Self = shared_from_this()](error_code Error, std::size_t) {
        if (Error && Error != http::error::need_buffer)
          return Self->fail(Error, OutcomeKind::BrokenAnswer);
        const std::size_t Got =
            Self->Chunk_.size() - Self->Parser_->get().body().size;
        Self->BodyMatches_ = Self->BodyMatches_ &&
                             Self->Expected_->matches(Self->BodyBytes_,
                                                      Self->Chunk_.data(), Got);
        Self->BodyBytes_ += Got;
        Self->readBody();
      });
}

void CallerConnection::checkAnswer() {
  const auto &Header = Parser_->get();
  ExchangeResult Result;
  Result.Code_ = resultCodeOf(Header);
  Result.Kind_ = outcomeKindOf(Header, Result.Code_);
  Result.Foreign_ = isForeignId(Header, Call_->Call_);
  if (Result.Kind_ == OutcomeKind::Answer) {
    Result.Foreign_ = Result.Foreign_ || !BodyMatches_;
    Result.WrongLength_ = BodyBytes_ != Call_->Route_->AnswerBytes_;
  }
  finish(Result, Parser_->keep_alive());
}

void CallerConnection::fail(error_code Error, OutcomeKind KindWithoutTimeout) {
  ExchangeResult Result;
  Result.Kind_ = KindWithoutTimeout;
  if (Error == beast::error::timeout)
    Result.Kind_ =
        Call_->Cancels_ ? OutcomeKind::Cancelled : OutcomeKind::GaveUp;
  finish(Result, false);
}

void CallerConnection::finish(const ExchangeResult &Result, bool Reusable) {
  const ResultHandler Report = std::move(OnDone_);
  OnDone_ = nullptr;
  Call_.reset();
  if (Reusable && Buffer_.size() == 0) {
    watchForClose();
    Hooks_.OnIdle_(shared_from_this());
  } else {
    if (Reusable)
      Hooks_.OnStrayBytes_(Buffer_.size());
    close();
  }
  Report(Result);
}

void CallerConnection::watchForClose() {
  Stream_.expires_never();
  if (IsWatched_)
    return;
  IsWatched_ = true;
  Stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [Self = shared_from_this()](error_code Error) {
                                Self->IsWatched_ = false;
                                if (Error || Self->Closed_ || Self->Call_)
                                  return;
                                if (!Self->isUsable())
                                  Self->close();
                                else
                                  Self->watchForClose();
                              });
}

bool CallerConnection::isUsable() {
  if (Closed_)
    return false;
  char Byte;
  error_code Error;
  Stream_.socket().non_blocking(true, Error);
  const std::size_t Got = Stream_.socket().receive(
      asio::buffer(&Byte, 1), asio::socket_base::message_peek, Error);
  if (Got > 0)
    Hooks_.OnStrayBytes_(Got);
  return Got == 0 && Error == asio::error::would_block;
}

void CallerConnection::close() {
  if (Closed_)
    return;
  Closed_ = true;
  error_code Ignored;
  Stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  Stream_.close();
  Hooks_.OnClosed_(shared_from_this());
}

} // namespace cumingauge::load

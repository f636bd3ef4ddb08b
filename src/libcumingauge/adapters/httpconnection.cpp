#include "adapters/httpconnection.h"
#include "adapters/idlesocket.h"
#include "traffic/outcomes.h"
#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace cumingauge::adapters {

using boost::asio::ip::tcp;
using boost::system::error_code;
using model::AnswerFault;
using traffic::ConnectionAction;

namespace {

constexpr model::milliseconds DiscardTimeout{500};
/// Longest answer that is read to its end although nobody wants it, so that the
/// connection can be used again.
constexpr std::uint64_t MaxDiscardedBytes = 65536;
/// Longest repeated answer to an earlier call that is read to find the answer
/// to the current one behind it.
constexpr std::uint64_t MaxStaleBytes = 1024 * 1024;
constexpr unsigned FirstStatusAfterSuccess = 300;
constexpr unsigned FirstServerError = 500;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusTooManyRequests = 429;
/// Number of failed calls after which a connection is not used again, as it
/// remembers all of them.
constexpr std::size_t MaxFailedCalls = 16;

/// Returns whether callers take the status for a promise that the call did not
/// run.
bool isPromise(unsigned Status) {
  return Status == StatusRequestTimeout || Status == StatusTooManyRequests;
}

} // namespace

HttpConnection::HttpConnection(boost::asio::io_context &Io,
                               std::uint32_t HeaderLimit,
                               const traffic::Dialect &Names, Owner Owner)
    : Socket_(Io), Timer_(Io), Names_(Names), Reader_(HeaderLimit, Names),
      Owner_(std::move(Owner)) {}

void HttpConnection::connect(const tcp::endpoint &Server,
                             model::milliseconds Timeout) {
  Timer_.expires_after(Timeout);
  Timer_.async_wait([Self = shared_from_this()](error_code Error) {
    if (!Error)
      Self->process(traffic::ConnectFailed{});
  });
  Socket_.async_connect(Server, [Self = shared_from_this()](error_code Error) {
    Self->Timer_.cancel();
    if (Error)
      return Self->process(traffic::ConnectFailed{});
    error_code Ignored;
    Self->Socket_.set_option(tcp::no_delay(true), Ignored);
    Self->LocalPort_ = Self->Socket_.local_endpoint(Ignored).port();
    Self->process(traffic::ConnectSucceeded{});
  });
}

bool HttpConnection::isStale() {
  return isSocketStale(Socket_.native_handle());
}

void HttpConnection::send(Exchange Request) {
  process(traffic::Leased{});
  IsFirstExchange_ = !std::exchange(WasUsed_, true);
  Exchange_ = std::move(Request);
  Failure_ = ExchangeStep::Lost;
  Fault_ = AnswerFault::None;
  InAnswer_ = true;
  Paused_ = false;
  SkippingStaleAnswer_ = false;
  DiscardedBytes_ = 0;
  if (AnswerUnwanted_)
    Timer_.cancel();
  AnswerUnwanted_ = false;
  Reader_.start(Exchange_.IsHead_);
  const std::array<boost::asio::const_buffer, 2> Buffers = {
      boost::asio::buffer(Exchange_.Head_),
      boost::asio::buffer(Exchange_.Body_)};
  const bool Complete = Exchange_.BodyComplete_;
  boost::asio::async_write(Socket_, Buffers,
                           [Self = shared_from_this(),
                            Complete](error_code Error, std::size_t Bytes) {
                             Self->onWritten(Error, Bytes, Complete);
                           });
}

void HttpConnection::onWritten(error_code Error, std::size_t Bytes,
                               bool BodyComplete) {
  if (!Error && BodyComplete)
    return process(traffic::RequestSent{});
  if (!Error)
    return report(ExchangeStep::BodyWanted);
  recordWriteError(Error);
  // The server may still answer a partly sent request; the pending read reports
  // the outcome.
  if (Bytes == 0)
    fail(ExchangeStep::NotSent);
}

/// The kernel reports a reset to one operation only. After a write has got it,
/// a read ends as if the server had closed its side. EPIPE means that the
/// server has closed its side before the reset, so that all its bytes can be
/// read.
void HttpConnection::recordWriteError(error_code Error) {
  WasReset_ = WasReset_ || Error != boost::asio::error::broken_pipe;
}

void HttpConnection::sendMore(std::string Piece, bool Last,
                              std::function<void(bool)> Done) {
  Piece_ = std::move(Piece);
  boost::asio::async_write(
      Socket_, boost::asio::buffer(Piece_),
      [Self = shared_from_this(), Last,
       Done = std::move(Done)](error_code Error, std::size_t) {
        if (Error)
          Self->recordWriteError(Error);
        Self->Piece_ = std::string();
        if (!Error && Last)
          Self->process(traffic::RequestSent{});
        Done(!Error);
      });
}

void HttpConnection::resume() {
  Paused_ = false;
  if (!Parsing_)
    parseAnswer();
}

void HttpConnection::abandon() {
  AnswerUnwanted_ = true;
  process(traffic::Abandoned{});
}

void HttpConnection::discardAnswer() {
  AnswerUnwanted_ = true;
  if (head().Length_ > MaxDiscardedBytes)
    return process(traffic::Abandoned{});
  Timer_.expires_after(DiscardTimeout);
  Timer_.async_wait([Self = shared_from_this()](error_code Error) {
    if (!Error && Self->AnswerUnwanted_)
      Self->process(traffic::Abandoned{});
  });
}

void HttpConnection::retire() { process(traffic::Retired{}); }

void HttpConnection::process(const traffic::ConnectionEvent &Event) {
  const auto Self = shared_from_this();
  for (const ConnectionAction Action : Life_.process(Event))
    perform(Action);
}

void HttpConnection::perform(ConnectionAction Action) {
  switch (Action) {
  case ConnectionAction::AddToPool:
    HasConnected_ = true;
    IdleSince_ = std::chrono::steady_clock::now();
    read();
    return Owner_.OnIdle_(shared_from_this());
  case ConnectionAction::ParseAnswer:
    return parseAnswer();
  case ConnectionAction::ReportEnd:
    return report(ExchangeStep::End);
  case ConnectionAction::ReportFailed:
    return report(Failure_);
  case ConnectionAction::Close:
    return close();
  }
}

void HttpConnection::read() {
  if (Reading_ || !Socket_.is_open())
    return;
  Reading_ = true;
  Socket_.async_read_some(
      Reader_.prepare(),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->Reading_ = false;
        Self->onRead(Error, Bytes);
      });
}

void HttpConnection::onRead(error_code Error, std::size_t Bytes) {
  if (Life_.isClosed())
    return;
  Reader_.commit(Bytes);
  const bool EndsAnswer = Error == boost::asio::error::eof && !WasReset_ &&
                          InAnswer_ && Reader_.finishAtClose();
  if (Error && !EndsAnswer) {
    if (InAnswer_ && Reader_.hasBegun())
      Fault_ = AnswerFault::BrokenOff;
    return fail(ExchangeStep::Lost);
  }
  process(traffic::BytesArrived{});
}

void HttpConnection::parseAnswer() {
  const auto Self = shared_from_this();
  Parsing_ = true;
  while (InAnswer_ && !Paused_ && !Life_.isClosed())
    if (!handleStep(Reader_.next()))
      break;
  Parsing_ = false;
}

/// Returns whether parsing continues at once.
bool HttpConnection::handleStep(ReadStep Step) {
  switch (Step) {
  case ReadStep::NeedMore:
    read();
    return false;
  case ReadStep::Head:
    return handleHead();
  case ReadStep::Body:
    if (SkippingStaleAnswer_ || AnswerUnwanted_)
      return discardBody();
    Paused_ = true;
    report(ExchangeStep::Body);
    return !Paused_;
  case ReadStep::End:
    if (SkippingStaleAnswer_) {
      SkippingStaleAnswer_ = false;
      Reader_.start(Exchange_.IsHead_);
      return true;
    }
    finishAnswer();
    return false;
  case ReadStep::Failed:
    failMalformed(Reader_.fault());
    return false;
  }
  return false;
}

/// Passes over a piece of an answer that nobody wants. Returns false when the
/// answer is so long that the connection is given up.
bool HttpConnection::discardBody() {
  DiscardedBytes_ += Reader_.body().size();
  if (DiscardedBytes_ <=
      (SkippingStaleAnswer_ ? MaxStaleBytes : MaxDiscardedBytes))
    return true;
  if (SkippingStaleAnswer_)
    failMalformed(AnswerFault::WrongCall);
  else
    process(traffic::Abandoned{});
  return false;
}

/// Whether this is a repeated answer to an earlier request. The answer to the
/// current request follows it.
bool HttpConnection::isStaleAnswer() const {
  return Names_.SkipsStaleAnswers_ && !head().CallId_.empty() &&
         !head().UntilClose_ && head().CallId_ != Exchange_.CallId_;
}

/// Returns why the answer is not taken for that of the current call, if so: it
/// is another call's, or lacks the fields that the dialect requires. Where
/// servers repeat call ids, an answer without one may be a copy of an answer to
/// an earlier request. One below 500 needs the id also on a new connection, as
/// a caller does not repeat its request after it. A status that promises that
/// the call did not run needs the proof, like a success.
AnswerFault HttpConnection::findCallFault() const {
  if (!traffic::isAnswerTo(Exchange_.CallId_, head().CallId_))
    return AnswerFault::WrongCall;
  if (Exchange_.CallId_.empty())
    return AnswerFault::None;
  const unsigned Status = head().Status_;
  const bool IsNotRun = Names_.IsNotRun_(Status, head().NotRun_);
  const bool NeedsId = !IsFirstExchange_ || Status < FirstStatusAfterSuccess ||
                       (Status < FirstServerError && !IsNotRun);
  if (Names_.CallIdRequired_ && head().CallId_.empty() && NeedsId)
    return AnswerFault::WrongCall;
  const bool NeedsProof =
      Status < FirstStatusAfterSuccess || (isPromise(Status) && !IsNotRun);
  return NeedsProof && !head().HasProof_ ? AnswerFault::NoProof
                                         : AnswerFault::None;
}

bool HttpConnection::hasFailedCall(std::string_view CallId) const {
  return std::find(FailedCalls_.begin(), FailedCalls_.end(), CallId) !=
         FailedCalls_.end();
}

void HttpConnection::recordFailedCall() {
  if (head().Status_ >= FirstStatusAfterSuccess && !Exchange_.CallId_.empty())
    FailedCalls_.push_back(Exchange_.CallId_);
}

bool HttpConnection::handleHead() {
  if (isStaleAnswer()) {
    SkippingStaleAnswer_ = SkippedStaleAnswer_ = true;
    return true;
  }
  if (const AnswerFault Fault = findCallFault(); Fault != AnswerFault::None) {
    failMalformed(Fault);
    return false;
  }
  recordFailedCall();
  report(ExchangeStep::Head);
  return true;
}

void HttpConnection::finishAnswer() {
  InAnswer_ = false;
  IdleTimeout_ = head().IdleTimeout_;
  const bool IsReusable = head().KeepAlive_ && !SkippedStaleAnswer_ &&
                          FailedCalls_.size() < MaxFailedCalls;
  const traffic::AnswerComplete Event{IsReusable, Reader_.buffered() > 0};
  Reader_.shrink();
  Reader_.start(/*ToHeadRequest=*/false);
  process(Event);
}

void HttpConnection::fail(ExchangeStep Reason) {
  Failure_ = Reason;
  process(traffic::ConnectionBroken{});
}

void HttpConnection::failMalformed(AnswerFault Fault) {
  Fault_ = Fault;
  fail(ExchangeStep::Malformed);
}

void HttpConnection::report(ExchangeStep Step) {
  if (AnswerUnwanted_ || !Exchange_.Handler_)
    return;
  if (Step == ExchangeStep::BodyWanted || Step == ExchangeStep::Head ||
      Step == ExchangeStep::Body)
    return Exchange_.Handler_(Step);
  const ExchangeHandler Handler = std::move(Exchange_.Handler_);
  Exchange_.Handler_ = nullptr;
  Handler(Step);
}

void HttpConnection::close() {
  InAnswer_ = false;
  Timer_.cancel();
  error_code Ignored;
  Socket_.close(Ignored);
  // The handler keeps the call alive and may be running now, so it is released
  // later.
  boost::asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    Self->Exchange_.Handler_ = nullptr;
  });
  Owner_.OnClosed_(shared_from_this());
}

} // namespace cumingauge::adapters

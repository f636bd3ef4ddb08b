#pragma once

#include "adapters/httpanswerreader.h"
#include "model/time.h"
#include "traffic/connectionlifecycle.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cumingauge::adapters {

/// Progress of the exchange on a backend connection.
enum class ExchangeStep {
  BodyWanted, ///< the head was sent; call sendMore
  Head,       ///< head() is valid
  Body,       ///< body() holds a piece; resume() continues
  End,        ///< the answer is whole
  NotSent,    ///< no byte of the request left this process
  Lost,       ///< the connection ended before the whole answer
  Malformed,  ///< the answer cannot be parsed or is for another call
};
using ExchangeHandler = std::function<void(ExchangeStep)>;

/// One request to a backend server and the handler of its progress.
struct Exchange {
  std::string Head_;
  std::string_view Body_;    ///< must outlive the exchange
  bool BodyComplete_ = true; ///< otherwise sendMore sends the rest
  bool IsHead_ = false;      ///< method HEAD: the answer has no body
  std::string CallId_;
  ExchangeHandler Handler_;
};

/// One connection to a backend server. While it is idle, a read is always
/// pending, so that a close or an unsolicited byte is detected at once.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// Callbacks to the pool that owns the connection.
  struct Owner {
    std::function<void(std::shared_ptr<HttpConnection>)> OnIdle_;
    std::function<void(std::shared_ptr<HttpConnection>)> OnClosed_;
  };

  /// \param Names must outlive the connection.
  /// \param HeaderLimit longest head of an answer in bytes.
  HttpConnection(boost::asio::io_context &Io, std::uint32_t HeaderLimit,
                 const traffic::Dialect &Names, Owner Owner);

  void connect(const boost::asio::ip::tcp::endpoint &Server,
               model::milliseconds Timeout);

  /// Whether the peer has closed the connection or sent unsolicited bytes.
  bool isStale();

  /// Sends a request. The connection must be idle.
  void send(Exchange Request);

  /// Sends a further piece of the request's body. \p Piece already contains the
  /// chunk framing, if any.
  void sendMore(std::string Piece, bool Last,
                std::function<void(bool Sent)> Done);

  /// Continues after ExchangeStep::Body.
  void resume();

  /// Gives up on the answer and closes the connection. The handler is not
  /// called any more.
  void abandon();

  /// Reads and discards the rest of a short answer, so that the connection can
  /// be reused; closes it if the answer is long or takes too long.
  void discardAnswer();

  /// Closes the connection if it is idle or connecting.
  void retire();

  traffic::AnswerHead &head() { return Reader_.head(); }
  const traffic::AnswerHead &head() const { return Reader_.head(); }
  /// What was wrong with the answer, with ExchangeStep::Lost and Malformed;
  /// None when no part of it has arrived.
  model::AnswerFault fault() const { return Fault_; }
  /// Status that was received; 0 without one.
  unsigned status() const { return Reader_.status(); }
  std::string_view body() const { return Reader_.body(); }
  /// With ExchangeStep::Body: whether this is the last piece.
  bool isAnswerComplete() const { return Reader_.isComplete(); }
  /// Bytes that the buffers of the exchange take.
  std::size_t heldBytes() const {
    return Reader_.capacity() + Piece_.capacity() + Exchange_.Head_.capacity();
  }
  /// Whether it was ever ready for a request.
  bool hasConnected() const { return HasConnected_; }
  /// Port of this side; 0 before it was connected.
  std::uint16_t localPort() const { return LocalPort_; }
  /// Whether no request has been sent on it so far.
  bool isUnused() const { return !WasUsed_; }
  /// Whether a request of this call was answered here with a failure. A second
  /// copy of that answer could not be told from the answer to a new attempt.
  bool hasFailedCall(std::string_view CallId) const;
  model::TimePoint idleSince() const { return IdleSince_; }
  /// Idle time after which the server closes the connection, if announced.
  std::optional<model::seconds> idleTimeout() const { return IdleTimeout_; }

private:
  void process(const traffic::ConnectionEvent &Event);
  void perform(traffic::ConnectionAction Action);
  void onWritten(boost::system::error_code Error, std::size_t Bytes,
                 bool BodyComplete);
  void recordWriteError(boost::system::error_code Error);
  void read();
  void onRead(boost::system::error_code Error, std::size_t Bytes);
  void parseAnswer();
  bool handleStep(ReadStep Step);
  bool handleHead();
  bool discardBody();
  bool isStaleAnswer() const;
  model::AnswerFault findCallFault() const;
  void recordFailedCall();
  void finishAnswer();
  void fail(ExchangeStep Reason);
  void failMalformed(model::AnswerFault Fault);
  void report(ExchangeStep Step);
  void close();

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_; ///< limits connecting and discarding
  const traffic::Dialect &Names_;
  AnswerReader Reader_;
  traffic::ConnectionLifecycle Life_;
  Owner Owner_;
  Exchange Exchange_;
  std::string Piece_;
  ExchangeStep Failure_ = ExchangeStep::Lost;
  model::AnswerFault Fault_ = model::AnswerFault::None;
  model::TimePoint IdleSince_;
  std::optional<model::seconds> IdleTimeout_;
  /// Calls whose requests were answered here with a failure.
  std::vector<std::string> FailedCalls_;
  std::uint16_t LocalPort_ = 0;
  bool HasConnected_ = false;
  bool WasUsed_ = false;
  bool IsFirstExchange_ = false; ///< no answer can be to an earlier request
  bool WasReset_ = false;        ///< a write has failed before the server's end
  bool Reading_ = false;
  bool Parsing_ = false;
  bool Paused_ = false;
  bool InAnswer_ = false;
  bool AnswerUnwanted_ = false;      ///< the handler is not called any more
  std::uint64_t DiscardedBytes_ = 0; ///< of answers that nobody wants
  bool SkippingStaleAnswer_ = false; ///< inside an answer to an earlier request
  bool SkippedStaleAnswer_ = false;  ///< if so, no reuse after this exchange
};

} // namespace cumingauge::adapters

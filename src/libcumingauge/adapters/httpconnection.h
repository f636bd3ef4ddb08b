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

namespace cumingauge::adapters {

/// News about the answer on a backend connection.
enum class ExchangeStep {
  BodyWanted, ///< the head was sent; sendMore may follow
  Head,       ///< head() is there
  Body,       ///< body() has a piece; resume() asks for the next step
  End,        ///< the answer is whole
  NotSent,    ///< no byte of the request left this process
  Lost,       ///< the connection ended without a whole answer
  Malformed,  ///< the answer cannot be parsed or is not for this call
};
using ExchangeHandler = std::function<void(ExchangeStep)>;

/// One request for a backend server.
struct Exchange {
  std::string Head_;
  std::string_view Body_;    ///< must live until the answer has ended
  bool BodyComplete_ = true; ///< else sendMore follows
  bool IsHead_ = false;
  std::string CallId_;
  ExchangeHandler Handler_;
};

/// One connection to a backend server. It always has a read under way while
/// it is idle, so that a close or an unsolicited byte is seen at once.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// Calls of the pool that owns it.
  struct Owner {
    std::function<void(std::shared_ptr<HttpConnection>)> OnIdle_;
    std::function<void(std::shared_ptr<HttpConnection>)> OnClosed_;
  };

  /// \param Names must outlive the connection.
  HttpConnection(boost::asio::io_context &Io, std::uint32_t HeaderLimit,
                 const traffic::Dialect &Names, Owner Owner);

  void connect(const boost::asio::ip::tcp::endpoint &Server,
               model::milliseconds Timeout);

  /// Whether the peer has closed it or sent bytes that nobody asked for.
  bool isStale();

  /// Puts a request on an idle connection.
  void send(Exchange Request);

  /// Sends a further piece of the request's body, framed already.
  void sendMore(std::string Piece, bool Last,
                std::function<void(bool Sent)> Done);

  /// Goes on after ExchangeStep::Body.
  void resume();

  /// Gives up on the answer and closes.
  void abandon();

  /// Reads the rest of a short answer that nobody wants, so that the
  /// connection can be used again; closes it if that takes long.
  void discardAnswer();

  /// Closes it if it is idle or connecting.
  void retire();

  traffic::AnswerHead &head() { return Reader_.head(); }
  const traffic::AnswerHead &head() const { return Reader_.head(); }
  std::string_view body() const { return Reader_.body(); }
  /// With ExchangeStep::Body: whether this is the last piece.
  bool isAnswerComplete() const { return Reader_.isComplete(); }
  bool hasConnected() const { return HasConnected_; }
  /// Whether it has carried no request so far.
  bool isUnused() const { return !WasUsed_; }
  model::TimePoint idleSince() const { return IdleSince_; }
  /// How long the server lets it be idle, if it has said so.
  std::optional<model::seconds> idleTimeout() const { return IdleTimeout_; }

private:
  void process(const traffic::ConnectionEvent &Event);
  void perform(traffic::ConnectionAction Action);
  void onWritten(boost::system::error_code Error, std::size_t Bytes,
                 bool BodyComplete);
  void read();
  void onRead(boost::system::error_code Error, std::size_t Bytes);
  void parseAnswer();
  bool handleStep(ReadStep Step);
  bool handleHead();
  bool isStaleAnswer() const;
  bool isAnswerAcceptable() const;
  void finishAnswer();
  void fail(ExchangeStep Reason);
  void report(ExchangeStep Step);
  void close();

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_; ///< of connecting or of discarding
  const traffic::Dialect &Names_;
  AnswerReader Reader_;
  traffic::ConnectionLifecycle Life_;
  Owner Owner_;
  Exchange Exchange_;
  std::string Piece_;
  ExchangeStep Failure_ = ExchangeStep::Lost;
  model::TimePoint IdleSince_;
  std::optional<model::seconds> IdleTimeout_;
  bool HasConnected_ = false;
  bool WasUsed_ = false;
  bool Reading_ = false;
  bool Parsing_ = false;
  bool Paused_ = false;
  bool InAnswer_ = false;
  bool AnswerUnwanted_ = false;      ///< its call wants to hear nothing more
  bool SkippingStaleAnswer_ = false; ///< inside an answer to an earlier request
  bool SkippedStaleAnswer_ = false;  ///< there was such an answer
};

} // namespace cumingauge::adapters

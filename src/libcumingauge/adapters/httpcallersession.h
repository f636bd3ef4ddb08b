#pragma once

#include "adapters/callerside.h"
#include "adapters/heldanswer.h"
#include "adapters/httpcallrequest.h"
#include "adapters/httprequestreader.h"
#include "model/time.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cumingauge::adapters {

class HttpCall;
class HttpWorker;

/// The connection of one caller. Answers its requests in their order; calls
/// that may run more than once run beside each other.
class HttpCallerSession
    : public CallerSide,
      public std::enable_shared_from_this<HttpCallerSession> {
public:
  HttpCallerSession(boost::asio::ip::tcp::socket Socket, HttpWorker &Worker);
  ~HttpCallerSession() override;

  /// Serves the connection.
  void start();

  /// Says that there are too many connections and closes.
  void refuse();

  /// From now on the connection is closed after the call that it carries.
  void startDraining();

  /// Closes it if it carries no call.
  void closeIfIdle();

  // For the call whose turn it is.

  void answer(model::ResultCode Code) override;
  void forwardHead(const traffic::AnswerHead &Head) override;
  bool forwardBody(std::string_view Bytes, bool Last,
                   std::function<void()> Done) override;

  /// Closes the connection so that the caller sees a broken transfer.
  void breakOff() override;
  void pullBody(PieceHandler Handler) override;
  void endCall() override;
  void setAlarm(model::TimePoint When) override;

private:
  enum class Phase { Head, KeptBody, Call, Closing, Closed };

  /// A pipelined call that runs before its turn.
  struct CallAhead {
    std::shared_ptr<HeldAnswer> Answer_;
    std::string CallId_;
    bool KeepAlive_ = true;
  };

  void read();
  void onRead(boost::system::error_code Error, std::size_t Bytes);
  void advance();
  bool takeStep(ReadStep Step);
  bool takeHead();
  bool takeBodyPiece();
  void dispatch(bool Complete);
  HttpCallRequest completeRequest(HttpCallRequest Request, bool Complete);
  void readAhead();
  bool mayRunAhead(const traffic::RequestHead &Head) const;
  void startAhead();
  void takeTurn();
  bool endsAfterAnswer() const;
  void streamBody();
  void deliverPiece(BodyPiece Piece);
  void refuseRequest(model::ResultCode Code);
  void refuseStreaming(model::ResultCode Code);
  void write();
  void onWritten(boost::system::error_code Error);
  void finishAnswer();
  void nextRequest();
  void lingerClose();
  void closeUnasked();
  void close();
  void setLimit(model::milliseconds Timeout);
  void armTimer();
  void onTimer();
  void onTimeout();

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  HttpWorker &Worker_;
  RequestReader Reader_;
  std::string Peer_;
  std::shared_ptr<HttpCall> Call_;
  std::deque<CallAhead> Ahead_; ///< in the order of their requests
  /// What was read of a request that must wait for its turn.
  std::optional<ReadStep> Waiting_;
  Phase Phase_ = Phase::Head;
  model::TimePoint Limit_; ///< of the phase; closes the connection
  model::TimePoint Alarm_; ///< of the call
  model::TimePoint Armed_; ///< when the timer fires
  std::unique_ptr<HttpCallRequest> Incoming_; ///< while its body is read
  std::string CallId_;
  std::uint64_t BodyBytes_ = 0;
  std::uint64_t MaxBodyBytes_ = 0;
  PieceHandler Puller_;
  std::string Out_;        ///< bytes to be written next
  std::string Writing_;    ///< bytes under way
  std::string_view Piece_; ///< body bytes to be written after Writing_
  std::string Tail_;       ///< bytes to be written after Piece_
  std::function<void()> PieceDone_;
  bool Reading_ = false;
  bool Busy_ = false; ///< a write is under way
  bool Advancing_ = false;
  bool ToHead_ = false;     ///< the request's method is HEAD
  bool BodyHidden_ = false; ///< the answer's head stands without its body
  bool AnswerBegun_ = false;
  bool ChunkedAnswer_ = false;
  bool ChunksAllowed_ = true;
  bool RequestRead_ = false; ///< the request was read to its end
  bool KeepAlive_ = false;
  bool AnswerDone_ = false;
  bool CallEnded_ = false;
  bool Draining_ = false;
  bool Unasked_ = false; ///< closing without an answer on its way
};

} // namespace cumingauge::adapters

#pragma once

#include "adapters/bufferedanswer.h"
#include "adapters/callerchannel.h"
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

/// The connection of one caller. Reads its requests and answers them in order.
/// Pipelined calls run concurrently if they are idempotent.
class HttpCallerSession
    : public CallerChannel,
      public std::enable_shared_from_this<HttpCallerSession> {
public:
  HttpCallerSession(boost::asio::ip::tcp::socket Socket, HttpWorker &Worker);
  ~HttpCallerSession() override;

  /// Starts to read requests.
  void start();

  /// Answers NotRunTooManyConnections and closes the connection.
  void refuseConnection();

  /// Makes the connection close after its current calls are answered.
  void startDraining();

  /// Closes the connection if it carries no call.
  void closeIfIdle();

  // Interface for the call that is answered now.

  void answer(model::ResultCode Code) override;
  void forwardHead(const traffic::AnswerHead &Head) override;
  bool forwardBody(std::string_view Bytes, bool Last,
                   std::function<void()> Done) override;

  /// Resets the connection, so that the caller sees an incomplete transfer.
  void abortAnswer() override;
  void readMoreBody(PieceHandler Handler) override;
  void onCallEnded() override;
  void setTimer(model::TimePoint When) override;

private:
  enum class Phase { Head, KeptBody, Call, Closing, Closed };

  /// A pipelined call that runs while an earlier one is not yet answered.
  struct CallAhead {
    std::shared_ptr<BufferedAnswer> Answer_;
    std::string CallId_;
    bool KeepAlive_ = true;
  };

  // Reading.

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
  void onTimerExpired();
  void onTimeout();

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  HttpWorker &Worker_;
  RequestReader Reader_;
  std::string Peer_;
  std::shared_ptr<HttpCall> Call_;
  std::deque<CallAhead> Ahead_; ///< in the order of their requests
  /// Reader step of a pipelined request that must wait until all calls before
  /// it are answered.
  std::optional<ReadStep> Waiting_;
  Phase Phase_ = Phase::Head;
  model::TimePoint Limit_; ///< end of the current phase's timeout
  model::TimePoint Alarm_; ///< when the call wants to be woken up
  model::TimePoint Armed_; ///< when the timer fires
  /// Request whose body is being read.
  std::unique_ptr<HttpCallRequest> Incoming_;
  std::string CallId_;
  std::uint64_t BodyBytes_ = 0;
  std::uint64_t MaxBodyBytes_ = 0;
  PieceHandler Puller_;    ///< of the call that waits for a piece of the body
  std::string Out_;        ///< bytes for the next write
  std::string Writing_;    ///< bytes of the write in progress
  std::string_view Piece_; ///< body bytes that follow Writing_
  std::string Tail_;       ///< bytes that follow Piece_
  std::function<void()> PieceDone_; ///< called when Piece_ has been written
  bool Reading_ = false;
  bool Busy_ = false; ///< a write is in progress
  bool Advancing_ = false;
  bool ToHead_ = false;     ///< the request's method is HEAD
  bool BodyHidden_ = false; ///< the answer is sent without its body
  bool AnswerBegun_ = false;
  bool ChunkedAnswer_ = false;
  bool ChunksAllowed_ = true;
  bool RequestRead_ = false; ///< the request was read to its last byte
  bool KeepAlive_ = false;
  bool AnswerDone_ = false;
  bool CallEnded_ = false;
  bool Draining_ = false;
  bool Unasked_ = false; ///< closing while it carried no call
};

} // namespace cumingauge::adapters

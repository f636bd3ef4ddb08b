#pragma once

#include "adapters/httpcallrequest.h"
#include "adapters/httprequestreader.h"
#include "model/time.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cumingauge::adapters {

class HttpCall;
class HttpWorker;

/// The connection of one caller. Runs one call at a time; further requests
/// wait in its buffer.
class HttpCallerSession
    : public std::enable_shared_from_this<HttpCallerSession> {
public:
  /// A piece of a request body that is not kept; Ended_ with the last one.
  struct BodyPiece {
    std::string_view Bytes_;
    bool Last_ = false;
  };
  using PieceHandler = std::function<void(BodyPiece)>;

  HttpCallerSession(boost::asio::ip::tcp::socket Socket, HttpWorker &Worker);
  ~HttpCallerSession();

  /// Serves the connection.
  void start();

  /// Says that there are too many connections and closes.
  void refuse();

  /// From now on the connection is closed after the call that it carries.
  void startDraining();

  /// Closes it if it carries no call.
  void closeIfIdle();

  // For the call in progress.

  /// Writes an answer of this process.
  void answer(model::ResultCode Code);

  /// Takes the head of a backend server's answer; written with the first
  /// piece of the body.
  void forwardHead(const traffic::AnswerHead &Head);

  /// Writes a piece of the answer.
  /// \returns true when the piece was copied and \p Done will not be called;
  /// only for a last piece.
  bool forwardBody(std::string_view Bytes, bool Last,
                   std::function<void()> Done);

  /// Closes the connection so that the caller sees a broken transfer.
  void breakOff();

  /// Asks for the next piece of a request body that is not kept.
  void pullBody(PieceHandler Handler);

  /// The call has ended.
  void endCall();

  /// Wakes the call at a time, or earlier.
  void setAlarm(model::TimePoint When);

private:
  enum class Phase { Head, KeptBody, Call, Closing, Closed };

  void read();
  void onRead(boost::system::error_code Error, std::size_t Bytes);
  void advance();
  bool takeStep(ReadStep Step);
  bool takeHead();
  bool takeBodyPiece();
  void dispatch(bool Complete);
  void streamBody();
  void deliverPiece(BodyPiece Piece);
  void refuseRequest(model::ResultCode Code);
  void refuseStreaming(model::ResultCode Code);
  void write();
  void onWritten(boost::system::error_code Error);
  void finishAnswer();
  void nextRequest();
  void lingerClose();
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
};

} // namespace cumingauge::adapters

#pragma once

#include "adapters/bufferedanswer.h"
#include "adapters/callerchannel.h"
#include "adapters/callermemory.h"
#include "adapters/httpcallrequest.h"
#include "adapters/httprequestreader.h"
#include "model/time.h"
#include "policy/callermemory.h"
#include "policy/idlelimit.h"
#include "traffic/connectionend.h"
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

  /// Makes the time of the first request count from this moment, at which the
  /// caller may have sent it, instead of from when it is read.
  void countTimeFrom(model::TimePoint Accepted) { FirstArrival_ = Accepted; }

  /// Refuses what the caller may send, before it is read, and closes the
  /// connection.
  void refuseConnection(model::ResultCode Code);

  /// Makes the next answer announce that the connection closes, and limits the
  /// time of the calls to what is left of the process.
  void startDraining();

  /// Closes the connection if it carries no call. A request whose body has not
  /// arrived is refused; one whose head has not is refused once it has.
  void refuseFurtherRequests();

  /// Logs the calls that are not answered when the process ends, and that the
  /// connection was open until then.
  void recordProcessEnd();

  /// Returns what the connection waits for and what it holds.
  policy::CallerHolding holding() const;

  /// Ends the connection to make room. A request that no server has seen is
  /// refused with \p Code.
  void evict(model::ResultCode Code);

  /// Returns the call whose caller has sent nothing of its upload for this
  /// time; null without one.
  std::shared_ptr<HttpCall> stalledUpload(model::Duration Stall) const;

  const std::shared_ptr<HttpCall> &call() const { return Call_; }

  // Interface for the call that is answered now.

  void answer(model::ResultCode Code, model::milliseconds RetryAfter) override;
  void forwardHead(const traffic::AnswerHead &Head) override;
  bool forwardBody(std::string_view Bytes, bool Last,
                   std::function<void()> Done) override;

  /// Closes the connection, so that the caller sees an incomplete transfer. The
  /// answers before this one are still delivered.
  void abortAnswer() override;
  void readMoreBody(PieceHandler Handler) override;
  void onCallEnded() override;
  void setTimer(model::TimePoint When) override;

private:
  enum class Phase { Head, KeptBody, Call, Closing, Closed };

  /// A pipelined call that runs while an earlier one is not yet answered.
  struct PipelinedCall {
    std::shared_ptr<BufferedAnswer> Answer_;
    std::string CallId_;
    bool KeepAlive_ = true;
  };

  // Reading.

  void read();
  std::size_t readRest(std::size_t Limit);
  void handleBytes();
  void discard(std::size_t Bytes);
  void onRead(boost::system::error_code Error, std::size_t Bytes);
  void advance();
  bool handleStep(ReadStep Step);
  bool handleHead();
  bool handleBodyPiece();
  void dispatch(bool Complete);
  HttpCallRequest completeRequest(HttpCallRequest Request, bool Complete);
  void startPipelinedCalls();
  bool startPipelinedCall();
  void answerNextCall();
  bool endsAfterAnswer() const;
  bool isCloseAnnounced() const { return !KeepAlive_; }
  void streamBody();
  void deliverPiece(BodyPiece Piece);
  bool refuseWhileStopping();
  void refuseRequest(model::ResultCode Code);
  void refuseStreamedRequest(model::ResultCode Code);
  void endRequest(model::ResultCode Code);
  void giveUpCall(model::ResultCode Code);
  void write();
  bool hasOutput() const { return !Outgoing_.empty() || PieceDone_; }
  void onWritten(boost::system::error_code Error);
  void finishAnswer();
  void nextRequest();
  void lingerClose(traffic::ConnectionEnd End);
  void closeIdle(traffic::ConnectionEnd End);
  void finishClosingIdle();
  void appendConnectionFields();
  void reset(traffic::ConnectionEnd End);
  void close(traffic::ConnectionEnd End);
  void finishClose();
  void decideEnd(traffic::ConnectionEnd End);
  void recordDiscardedBytes(std::size_t Bytes);
  void dropCalls();
  policy::CallerUse use() const;
  bool isReadingPaused() const;
  void updateMemory();
  void releaseOutput();
  void setTimeout(model::milliseconds Timeout);
  void armTimer();
  void onTimerExpired();
  void onTimeout();
  void onIdleTimeout();
  bool isLastAnswerUnsent();

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  HttpWorker &Worker_;
  RequestReader Reader_;
  MemoryShare Memory_; ///< without what the calls hold
  std::string Peer_;
  std::uint16_t PeerPort_ = 0;
  std::shared_ptr<HttpCall> Call_;
  std::deque<PipelinedCall> PipelinedCalls_; ///< oldest first
  /// Reader step of a pipelined request that must wait until all calls before
  /// it are answered.
  std::optional<ReadStep> DeferredStep_;
  std::optional<model::TimePoint> FirstArrival_;
  Phase Phase_ = Phase::Head;
  model::TimePoint IdleSince_;     ///< end of the latest request, or the start
  model::TimePoint WaitsSince_;    ///< start of the current timeout
  model::milliseconds Timeout_{0}; ///< length of the current timeout
  model::TimePoint RequestSince_;  ///< first byte of the request being read
  model::TimePoint TimeoutAt_;     ///< end of the current phase's timeout
  model::TimePoint CallTimerAt_;   ///< when the call wants to be woken up
  model::TimePoint TimerSetFor_;   ///< when the timer fires
  policy::IdleTerms IdleTerms_;    ///< of the last answer
  /// Request whose body is being read.
  std::unique_ptr<HttpCallRequest> Incoming_;
  std::string CallId_;
  std::uint64_t BodyBytes_ = 0;
  std::uint64_t MaxBodyBytes_ = 0;
  /// Handler of the call that waits for the next piece of the body.
  PieceHandler PieceHandler_;
  // The next write. The next piece may arrive while a write is in progress.
  std::string Outgoing_;            ///< bytes that precede Piece_
  std::string_view Piece_;          ///< body bytes
  std::string Tail_;                ///< bytes that follow Piece_
  std::function<void()> PieceDone_; ///< called when Piece_ has been written
  // The write in progress.
  std::string WriteBuffer_;         ///< bytes that precede the piece
  std::string WriteTail_;           ///< bytes that follow the piece
  std::function<void()> WriteDone_; ///< called when the piece has been written
  std::size_t WrittenPieceBytes_ = 0;
  std::size_t DiscardedBytes_ = 0; ///< after the connection was closed
  std::uint64_t RequestsServed_ = 0;
  /// Reason for which the connection closes once its read has ended.
  std::optional<traffic::ConnectionEnd> ClosingIdle_;
  std::optional<traffic::ConnectionEnd> End_; ///< once it is decided
  model::TimePoint EndedAt_;                  ///< when it was decided
  std::optional<model::Duration> IdleAtEnd_;  ///< absent: it was not idle
  bool ReadInProgress_ = false;
  bool WriteInProgress_ = false;
  bool Advancing_ = false;
  bool IsHeadRequest_ = false; ///< the request's method is HEAD
  bool OmitsBody_ = false;     ///< the answer is sent without its body
  bool AnswerStarted_ = false;
  bool ChunkedAnswer_ = false;
  bool ChunksAllowed_ = true;
  bool RequestComplete_ = false; ///< the request was read to its last byte
  /// The caller allows another request; after the head of the answer: the
  /// answer did not announce that the connection closes.
  bool KeepAlive_ = false;
  bool AnswerComplete_ = false;
  bool HasCallEnded_ = false;
  bool Draining_ = false;
  bool IsRefused_ = false;     ///< a request was refused before its end
  bool DiscardLogged_ = false; ///< bytes after the close were recorded
};

} // namespace cumingauge::adapters

#pragma once

#include "model/resultcode.h"
#include "model/time.h"
#include "traffic/messagehead.h"
#include <functional>
#include <string_view>

namespace cumingauge::adapters {

/// Interface between a call and its caller's connection: it sends the answer,
/// provides the rest of the request body and wakes the call up at a given time.
class CallerChannel {
public:
  /// A piece of a request body that is too large to be kept.
  struct BodyPiece {
    std::string_view Bytes_;
    bool Last_ = false; ///< ends the body
  };
  using PieceHandler = std::function<void(BodyPiece)>;

  virtual ~CallerChannel() = default;

  /// Answers with a result code of this process.
  /// \param RetryAfter when the caller should try again; zero: the time in the
  /// settings.
  virtual void answer(model::ResultCode Code,
                      model::milliseconds RetryAfter) = 0;

  /// Sends the head of a backend server's answer, together with the first piece
  /// of its body.
  virtual void forwardHead(const traffic::AnswerHead &Head) = 0;

  /// Sends a piece of the answer's body. One further piece may follow before
  /// \p Done is called.
  /// \param Bytes valid until \p Done is called, unless they are copied.
  /// \param Last whether the piece ends the body.
  /// \returns true when the piece was copied and \p Done will not be called;
  /// this happens only for a last piece.
  virtual bool forwardBody(std::string_view Bytes, bool Last,
                           std::function<void()> Done) = 0;

  /// Ends the connection so that the caller sees an incomplete transfer.
  virtual void abortAnswer() = 0;

  /// Requests the next piece of a request body that is too large to be kept.
  virtual void readMoreBody(PieceHandler Handler) = 0;

  /// Notes that the call has ended.
  virtual void onCallEnded() = 0;

  /// Wakes the call up at this time or earlier.
  virtual void setTimer(model::TimePoint When) = 0;
};

} // namespace cumingauge::adapters

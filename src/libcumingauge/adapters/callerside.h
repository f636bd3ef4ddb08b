#pragma once

#include "model/resultcode.h"
#include "model/time.h"
#include "traffic/messagehead.h"
#include <functional>
#include <string_view>

namespace cumingauge::adapters {

/// What a call needs of its caller: takes the answer, gives the rest of the
/// body, and wakes the call.
class CallerSide {
public:
  /// A piece of a request body that is not kept; Last_ with the last one.
  struct BodyPiece {
    std::string_view Bytes_;
    bool Last_ = false;
  };
  using PieceHandler = std::function<void(BodyPiece)>;

  virtual ~CallerSide() = default;

  /// Gives an answer of this process.
  virtual void answer(model::ResultCode Code) = 0;

  /// Takes the head of a backend server's answer; written with the first
  /// piece of the body.
  virtual void forwardHead(const traffic::AnswerHead &Head) = 0;

  /// Takes a piece of the answer.
  /// \returns true when the piece was copied and \p Done will not be called;
  /// only for a last piece.
  virtual bool forwardBody(std::string_view Bytes, bool Last,
                           std::function<void()> Done) = 0;

  /// Lets the caller see a broken transfer.
  virtual void breakOff() = 0;

  /// Asks for the next piece of a request body that is not kept.
  virtual void pullBody(PieceHandler Handler) = 0;

  /// The call has ended.
  virtual void endCall() = 0;

  /// Wakes the call at a time, or earlier.
  virtual void setAlarm(model::TimePoint When) = 0;
};

} // namespace cumingauge::adapters

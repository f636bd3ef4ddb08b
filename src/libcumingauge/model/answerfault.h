#pragma once

#include "model/describe.h"

namespace cumingauge::model {

/// What is wrong with an answer that was received. Its name is written to the
/// log and the metrics.
enum class AnswerFault {
  None,
  StatusLine, ///< no status line of HTTP/1.0 or HTTP/1.1
  Status,     ///< a status below 100 or above 599
  FieldLine,  ///< a name that is no token, a control byte, or a CR without LF
  TooLong,    ///< a head, a field or a body above the limit
  Framing,    ///< its end is ambiguous or determined in an unknown way
  Chunk,      ///< a chunk header that is invalid or too long
  Interim,    ///< a change of protocol, or too many interim answers
  WrongCall,  ///< names another call, or none where a call must be named
  NoProof,    ///< a success, or a status that promises that
              ///< the call did not run, without the field that proves it
  BrokenOff,  ///< the connection ended within the answer
};
BOOST_DESCRIBE_ENUM(AnswerFault, None, StatusLine, Status, FieldLine, TooLong,
                    Framing, Chunk, Interim, WrongCall, NoProof, BrokenOff)

} // namespace cumingauge::model

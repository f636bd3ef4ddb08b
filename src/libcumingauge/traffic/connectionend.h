#pragma once

#include "model/describe.h"

namespace cumingauge::traffic {

/// Why the connection of a caller ends.
enum class ConnectionEnd {
  CallerClosed, ///< closed or reset by the caller
  Announced,    ///< after an answer that said so
  Refused,      ///< after the refusal of a request that was not read to its end
  IdleTimeout,  ///< no request came in time
  Stopping,     ///< idle while the process stops
  Memory,       ///< ended to free memory
  Descriptors,  ///< ended so that a new connection has a descriptor
  AnswerBroken, ///< the answer could not be completed
  AnswerNotRead, ///< the caller accepted no bytes of an answer in time
  NotServed,     ///< closed before anything was read
  ProcessEnded,  ///< open when the drain of its thread ended
};
BOOST_DESCRIBE_ENUM(ConnectionEnd, CallerClosed, Announced, Refused,
                    IdleTimeout, Stopping, Memory, Descriptors, AnswerBroken,
                    AnswerNotRead, NotServed, ProcessEnded)

/// Returns whether the process ends a connection for this reason although no
/// answer has announced it.
constexpr bool isUnannounced(ConnectionEnd End) {
  return End != ConnectionEnd::CallerClosed &&
         End != ConnectionEnd::Announced && End != ConnectionEnd::Refused;
}

} // namespace cumingauge::traffic

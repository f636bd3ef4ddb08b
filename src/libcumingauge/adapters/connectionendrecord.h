#pragma once

#include "model/time.h"
#include "traffic/connectionend.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cumingauge::adapters {

/// Values that are logged when it is decided to end a caller's connection.
struct ConnectionEndRecord {
  std::string Peer_;
  std::uint16_t Port_ = 0; ///< of the peer; 0: not known
  traffic::ConnectionEnd End_ = traffic::ConnectionEnd::CallerClosed;
  std::string Call_; ///< latest call of the connection; empty: none
  /// Time since the latest request ended or the connection was opened; absent
  /// while a request is under way.
  std::optional<model::Duration> Idle_;
  /// Timeout that ended the connection, as it was when the timer was set; the
  /// present limit; and how late the timer ran. Absent without a timeout.
  std::optional<model::Duration> Limit_;
  std::optional<model::Duration> LimitNow_;
  std::optional<model::Duration> TimerLate_;
  model::Duration ThreadLate_{0}; ///< of the latest tick of the thread
  std::size_t UnreadBytes_ = 0;   ///< that have arrived and were not read
  std::size_t BufferedBytes_ = 0; ///< that were read and not parsed
  std::uint64_t Requests_ = 0;    ///< answered on this connection
  std::uint64_t ConfigVersion_ = 0;
};

/// Values that are logged when bytes arrive on a connection after its end was
/// decided.
struct DiscardRecord {
  std::string Peer_;
  std::uint16_t Port_ = 0; ///< of the peer; 0: not known
  std::size_t Bytes_ = 0;
  bool Announced_ = false; ///< the last answer said that the connection closes
  traffic::ConnectionEnd End_ = traffic::ConnectionEnd::CallerClosed;
  model::Duration SinceClose_{0};
  /// Idle time of the connection when its end was decided.
  std::optional<model::Duration> Idle_;
};

} // namespace cumingauge::adapters

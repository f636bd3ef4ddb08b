#pragma once

#include "model/loadreport.h"
#include "model/time.h"
#include <cstdint>
#include <optional>
#include <string>

/// Heads of HTTP messages as the traffic path passes them on: end-to-end
/// fields as one block of text, the rest taken out and typed.
namespace cumingauge::traffic {

/// How the end of a body is told.
enum class Framing { None, Length, Chunked };

struct RequestHead {
  std::string Method_;
  std::string Target_;
  std::string Host_;   ///< as the field says it, with a port if there is one
  std::string Fields_; ///< end-to-end fields, each "Name: value\r\n"
  Framing Framing_ = Framing::None;
  std::uint64_t Length_ = 0; ///< with Framing::Length
  bool KeepAlive_ = false;
  bool Http10_ = false;
  bool IsHead_ = false; ///< method HEAD: the answer has no body
  bool ExpectsContinue_ = false;
  std::string CallId_;
  std::string Caller_;
  unsigned Attempt_ = 0; ///< mark of an upper call's attempt, 0 without
  std::optional<model::milliseconds> Deadline_;
};

struct AnswerHead {
  unsigned Status_ = 0;
  std::string Reason_;
  std::string Fields_;
  Framing Framing_ = Framing::None;
  std::uint64_t Length_ = 0;
  bool KeepAlive_ = false;
  bool UntilClose_ = false; ///< the body ends with the connection
  bool Proven_ = true;      ///< has the field that proves it, if one is asked
  std::string CallId_;      ///< as the server repeats it, or empty
  std::string NotRun_;      ///< says that the call did not run, or empty
  std::string Report_;      ///< load report, or empty
  std::optional<model::seconds>
      IdleTimeout_; ///< of the connection, by the server
};

} // namespace cumingauge::traffic

#pragma once

#include "model/loadreport.h"
#include "model/servernotice.h"
#include "model/time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Heads of HTTP messages as they are passed on: the end-to-end fields as one
/// block of text, the fields that this process acts on parsed into members.
namespace cumingauge::traffic {

/// How the end of a body is determined.
enum class Framing { None, Length, Chunked };

/// Head of a caller's request.
struct RequestHead {
  std::string Method_;
  std::string Target_;
  std::string Host_;   ///< value of the Host field, with its port if any
  std::string Fields_; ///< end-to-end fields, each "Name: value\r\n"
  /// Values of the fields Dialect::Key_, which are not among Fields_.
  std::vector<std::string> Credentials_;
  Framing Framing_ = Framing::None;
  std::uint64_t Length_ = 0; ///< body bytes, with Framing::Length
  bool KeepAlive_ = false;
  bool Http10_ = false; ///< HTTP/1.0, so no chunked answer
  bool IsHead_ = false; ///< method HEAD: the answer has no body
  bool ExpectsContinue_ = false;
  std::string CallId_;
  std::string Caller_;
  unsigned Attempt_ = 0; ///< attempt number sent by the caller, 0 without
  std::optional<model::milliseconds> Deadline_; ///< time left, sent by caller
};

/// Returns the path of a request, without its query.
inline std::string_view pathOf(const RequestHead &Head) {
  return std::string_view(Head.Target_).substr(0, Head.Target_.find('?'));
}

/// Returns the bytes of memory that the texts of a head take.
inline std::size_t heldBytes(const RequestHead &Head) {
  std::size_t Sum = Head.Target_.capacity() + Head.Host_.capacity() +
                    Head.Fields_.capacity() + Head.CallId_.capacity() +
                    Head.Caller_.capacity();
  for (const std::string &Value : Head.Credentials_)
    Sum += Value.capacity();
  return Sum;
}

/// Head of a backend server's answer.
struct AnswerHead {
  unsigned Status_ = 0;
  std::string Reason_;
  std::string Fields_;
  Framing Framing_ = Framing::None;
  std::uint64_t Length_ = 0;
  bool KeepAlive_ = false;
  bool UntilClose_ = false; ///< the body ends when the connection closes
  bool HasProof_ = true;    ///< has Dialect::AnswerProof_, or none is required
  std::string CallId_;      ///< call id that the server repeated, or empty
  std::string NotRun_;      ///< value of Dialect::NotRun_, or empty
  std::string Report_;      ///< value of Dialect::LoadReport_, or empty
  model::ServerNotice Notice_; ///< values of Dialect::Leaving_ and Pause_
  /// Idle timeout of the connection, as the server announces it.
  std::optional<model::seconds> IdleTimeout_;
};

} // namespace cumingauge::traffic

#pragma once

#include "model/loadreport.h"
#include "model/servernotice.h"
#include <optional>
#include <string>
#include <string_view>

namespace cumingauge::traffic {

/// Values of the fields Dialect::Leaving_, Pause_ and Cold_ of an answer, if
/// any; several fields of a name are joined by commas.
struct NoticeFields {
  std::optional<std::string> Leaving_;
  std::optional<std::string> Pause_;
  std::optional<std::string> Cold_;
};

/// Protocol that callers, entry processes and backend servers use on top of
/// HTTP: the names of its header fields and how their values are read. A field
/// with an empty name is neither sent nor read.
struct Dialect {
  std::string DeadlineMs_;  ///< time left until the deadline, in ms
  std::string Caller_;      ///< whose quota the call uses
  std::string Key_;         ///< from callers: credentials with a key
  std::string KeyScheme_;   ///< authentication scheme of these credentials
  std::string Workspace_;   ///< to backend servers: workspace of the key
  std::string CallId_;      ///< identifies the call; repeated in its answer
  std::string Attempt_;     ///< to backend servers: number of the attempt
  std::string ResultCode_;  ///< to callers: number and name of the result code
  std::string NotRun_;      ///< from backend servers: the call did not run
  std::string LoadReport_;  ///< from backend servers: load report
  std::string Leaving_;     ///< from backend servers: they take no more calls
  std::string Pause_;       ///< from backend servers: no calls for a time
  std::string Cold_;        ///< from backend servers: time until they are warm
  std::string Server_;      ///< to backend servers: name of the server meant
  std::string AnswerProof_; ///< a success without this field is incomplete
  bool CallIdRequired_ = false; ///< a success must repeat the call id
  /// Skip a second answer to an earlier request instead of treating it as a
  /// fault of the connection.
  bool SkipsStaleAnswers_ = false;
  /// Accept an answer without a length, whose body ends when the server closes
  /// the connection.
  bool AnswersUntilClose_ = false;

  /// Parses the value of the header field LoadReport_.
  std::optional<model::LoadReport> (*ReadReport_)(std::string_view) = nullptr;
  /// Returns whether an answer states that the call did not run.
  /// \param NotRun value of the header field NotRun_, or empty.
  bool (*IsNotRun_)(unsigned Status, std::string_view NotRun) = nullptr;
  /// Returns whether an answer for which IsNotRun_ holds also states that the
  /// server accepts no more calls.
  bool (*IsLeaving_)(unsigned Status, std::string_view NotRun) = nullptr;
  /// Reads what a server announces about itself.
  model::ServerNotice (*ReadNotice_)(unsigned Status,
                                     const NoticeFields &Fields) = nullptr;
};

} // namespace cumingauge::traffic

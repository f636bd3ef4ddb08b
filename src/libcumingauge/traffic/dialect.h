#pragma once

#include "model/loadreport.h"
#include <optional>
#include <string>
#include <string_view>

namespace cumingauge::traffic {

/// Header fields by which callers, entry processes and backend servers tell
/// each other more than HTTP does. A field with an empty name is neither sent
/// nor looked for.
struct Dialect {
  std::string DeadlineMs_;  ///< time left for the answer
  std::string Caller_;      ///< who the call is charged to
  std::string CallId_;      ///< identity of the call, repeated in its answer
  std::string Attempt_;     ///< to backend servers: number of the attempt
  std::string ResultCode_;  ///< to callers: number and name of the result code
  std::string NotRun_;      ///< from backend servers: the call did not run
  std::string LoadReport_;  ///< from backend servers
  std::string Server_;      ///< to backend servers: whom the call is meant for
  std::string AnswerProof_; ///< a success without this field is not whole
  bool CallIdRequired_ = false; ///< a success must repeat the call's identity
  /// A second answer to an earlier request is passed over instead of being
  /// taken for a fault of the connection.
  bool SkipsForeignAnswers_ = false;
  /// An answer without a length may end with its connection.
  bool AnswersUntilClose_ = false;

  /// Reads the value of LoadReport_.
  std::optional<model::LoadReport> (*ReadReport_)(std::string_view) = nullptr;
  /// Whether an answer states that the call did not run.
  /// \param NotRun value of NotRun_, or empty.
  bool (*IsNotRun_)(unsigned Status, std::string_view NotRun) = nullptr;
  /// Whether such an answer also says that the server takes no more calls.
  bool (*IsLeaving_)(unsigned Status, std::string_view NotRun) = nullptr;
};

} // namespace cumingauge::traffic

#pragma once

#include "ctlerror.h"
#include "ctlsettings.h"
#include <boost/leaf.hpp>
#include <iosfwd>

namespace cumingauge::ctl {

/// Settings and output streams that are passed to every command.
struct Context {
  CtlSettings Settings_;
  bool Json_ = false; ///< print JSON instead of text
  std::ostream &Out_; ///< the command's result
  std::ostream &Err_; ///< messages that are no part of the result
};

/// The result code of a command becomes the exit status of the program.
/// Commands fail with a CtlError.
using CommandResult = boost::leaf::result<model::ResultCode>;

/// Creates the error that a command returns when it fails.
inline boost::leaf::error_id fail(model::ResultCode Code, std::string Message,
                                  model::Problems Problems = {}) {
  return boost::leaf::new_error(
      CtlError{Code, std::move(Message), std::move(Problems)});
}

} // namespace cumingauge::ctl

#pragma once

#include "ctlerror.h"
#include "ctlsettings.h"
#include <boost/leaf.hpp>
#include <iosfwd>

namespace cumingauge::ctl {

/// What every command works with.
struct Context {
  CtlSettings Settings_;
  bool Json_ = false;   ///< print JSON instead of text
  std::ostream &Out_;   ///< the command's result
  std::ostream &Notes_; ///< what a reader of the result need not parse
};

/// A command's result code becomes the exit status. Commands fail with a
/// CtlError.
using CommandResult = boost::leaf::result<model::ResultCode>;

inline boost::leaf::error_id fail(model::ResultCode Code, std::string Message,
                                  model::Problems Problems = {}) {
  return boost::leaf::new_error(
      CtlError{Code, std::move(Message), std::move(Problems)});
}

} // namespace cumingauge::ctl

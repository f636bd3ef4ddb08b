#pragma once

#include "codec/describedjson.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include <boost/leaf.hpp>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// Why settings were not taken: a code and every fault found.
struct SettingsError {
  model::ResultCode Code_ = model::ResultCode::SettingsInvalid;
  model::Problems Problems_;
};

/// Reads a JSON settings file and applies `path=value` overrides, where path
/// is written with dots ("listen.port=8080") and value is JSON or else a
/// string. Fails with a SettingsError.
boost::leaf::result<codec::Json>
readSettingsDocument(const std::string &File,
                     const std::vector<std::string> &Overrides);

/// Reads settings of type T. T's own range checks are found by argument
/// dependent lookup: `Problems checkSettings(const T &)`.
template <class T>
boost::leaf::result<T> readSettings(const std::string &File,
                                    const std::vector<std::string> &Overrides) {
  BOOST_LEAF_AUTO(Document, readSettingsDocument(File, Overrides));
  T Out;
  SettingsError Error;
  codec::fromJson(Document, "", Out, Error.Problems_);
  if (Error.Problems_.empty())
    Error.Problems_ = checkSettings(Out);
  if (!Error.Problems_.empty())
    return boost::leaf::new_error(std::move(Error));
  return Out;
}

} // namespace cumingauge::adapters

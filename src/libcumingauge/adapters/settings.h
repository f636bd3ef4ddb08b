#pragma once

#include "codec/describedjson.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include <boost/leaf.hpp>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// Reason for the refusal of settings: a result code and all problems found.
struct SettingsError {
  model::ResultCode Code_ = model::ResultCode::SettingsInvalid;
  model::Problems Problems_;
};

/// Reads a JSON settings file and applies `path=value` overrides. The parts of
/// the path are separated by dots ("listen.port=8080"); a value that is not
/// valid JSON is taken as a string. Fails with a SettingsError. \param File
/// path of the file; empty to begin with an empty document.
boost::leaf::result<codec::Json>
readSettingsDocument(const std::string &File,
                     const std::vector<std::string> &Overrides);

/// Returns the overrides in the environment variable CUMINGAUGE_SET, which are
/// separated by spaces, followed by the given ones. Those without a value are
/// left out, so that a template may name a value that is not always there.
std::vector<std::string>
withEnvironmentOverrides(const std::vector<std::string> &Overrides);

/// Reads settings of type T and checks their ranges with
/// `Problems checkSettings(const T &)`, found by argument-dependent lookup.
/// Fails with a SettingsError.
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

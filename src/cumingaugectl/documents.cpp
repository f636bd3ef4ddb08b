#include "documents.h"
#include "codec/describedjson.h"
#include <fstream>

namespace cumingauge::ctl {

namespace {

using codec::Json;
using model::ResultCode;

boost::leaf::result<Json> readJson(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    return fail(ResultCode::SettingsUnreadable, File + " cannot be opened");
  try {
    return Json::parse(In);
  } catch (const Json::parse_error &Error) {
    return fail(ResultCode::ChangeMalformed, File + ": " + Error.what());
  }
}

template <class T>
boost::leaf::result<T> readValue(const Json &Document,
                                 const std::string &File) {
  T Out;
  model::Problems Found;
  codec::fromJson(Document, "", Out, Found);
  if (!Found.empty())
    return fail(ResultCode::ChangeMalformed, File + " is not valid",
                std::move(Found));
  return Out;
}

boost::leaf::result<void> failOnProblems(model::Problems Found,
                                         const std::string &File) {
  if (!Found.empty())
    return fail(ResultCode::ChangeRefused, File + " is not valid",
                std::move(Found));
  return {};
}

} // namespace

boost::leaf::result<model::Preset> readPreset(const std::string &File) {
  BOOST_LEAF_AUTO(Document, readJson(File));
  BOOST_LEAF_AUTO(Out, readValue<model::Preset>(Document, File));
  BOOST_LEAF_CHECK(failOnProblems(model::checkPreset(Out, ""), File));
  return Out;
}

boost::leaf::result<std::vector<model::BackendServer>>
readServers(const std::string &File) {
  BOOST_LEAF_AUTO(Document, readJson(File));
  if (Document.is_object())
    Document = Json::array({Document});
  return readValue<std::vector<model::BackendServer>>(Document, File);
}

boost::leaf::result<DeploymentDocument>
readDeployment(const std::string &File) {
  BOOST_LEAF_AUTO(Document, readJson(File));
  BOOST_LEAF_AUTO(Out, readValue<DeploymentDocument>(Document, File));
  model::Problems Found;
  for (std::size_t I = 0; I < Out.Presets_.size(); ++I) {
    const model::Problems More =
        model::checkPreset(Out.Presets_[I], "/presets/" + std::to_string(I));
    Found.insert(Found.end(), More.begin(), More.end());
  }
  BOOST_LEAF_CHECK(failOnProblems(std::move(Found), File));
  return Out;
}

} // namespace cumingauge::ctl

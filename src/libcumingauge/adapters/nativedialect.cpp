#include "adapters/nativedialect.h"
#include "adapters/loadreporttext.h"
#include "traffic/headers.h"
#include "traffic/outcomes.h"

namespace cumingauge::adapters {

namespace {

bool isLeaving(unsigned /*Status*/, std::string_view NotRun) {
  return NotRun == "draining";
}

traffic::Dialect makeNativeDialect() {
  namespace names = traffic::headers;
  traffic::Dialect Out;
  Out.DeadlineMs_ = names::DeadlineMs;
  Out.Caller_ = names::Caller;
  Out.Key_ = names::Key;
  Out.KeyScheme_ = names::KeyScheme;
  Out.Workspace_ = names::Workspace;
  Out.CallId_ = names::CallId;
  Out.Attempt_ = names::Attempt;
  Out.ResultCode_ = names::ResultCode;
  Out.NotRun_ = names::NotRun;
  Out.LoadReport_ = names::LoadReport;
  Out.ReadReport_ = parseLoadReport;
  Out.IsNotRun_ = traffic::isNotRunAnswer;
  Out.IsLeaving_ = isLeaving;
  return Out;
}

} // namespace

const traffic::Dialect &nativeDialect() {
  static const traffic::Dialect Dialect = makeNativeDialect();
  return Dialect;
}

} // namespace cumingauge::adapters

#include "emulator/serveranswers.h"
#include "emulator/answerbody.h"
#include "emulator/jsonanswer.h"
#include "traffic/headers.h"
#include <memory>

namespace cumingauge::emulator {

namespace headers = traffic::headers;

namespace {

/// Longer bodies are generated while they are sent.
constexpr std::uint64_t MaxWholeBodyBytes = 65536;

/// Returns the value of the header that states why a call did not run.
const char *refusalName(Admission Reason) {
  switch (Reason) {
  case Admission::Draining:
    return "draining";
  case Admission::Cold:
    return "cold";
  default:
    return "shed";
  }
}

std::uint64_t bodyBytes(const HttpAnswer &Answer) {
  return Answer.Source_ ? Answer.SourceBytes_ : Answer.Body_.size();
}

} // namespace

HttpAnswer callAnswer(const std::string &Call, std::uint64_t Bytes,
                      bool Chunked) {
  const auto Body = std::make_shared<AnswerBody>(Call);
  HttpAnswer Out;
  Out.Fields_ = {{"Content-Type", "application/octet-stream"}};
  if (Bytes <= MaxWholeBodyBytes && !Chunked) {
    Out.Body_ = Body->generate(Bytes);
    return Out;
  }
  Out.Chunked_ = Chunked;
  Out.SourceBytes_ = Bytes;
  Out.Source_ = [Body](std::uint64_t Offset, char *To, std::size_t Size) {
    Body->write(Offset, To, Size);
  };
  return Out;
}

HttpAnswer refusalAnswer(Admission Reason) {
  HttpAnswer Out = textAnswer(503, "not run\n");
  Out.Fields_.push_back({headers::NotRun, refusalName(Reason)});
  return Out;
}

HttpAnswer probeAnswer(bool Health, const model::LoadReport &Report) {
  const unsigned Status = Health && Report.Draining_ ? 503 : 200;
  return jsonAnswer(Status, codec::toJson(Report));
}

void addIdentity(HttpAnswer &Answer, const std::string &Call,
                 const std::string &Vm, const model::LoadReport &Report) {
  Answer.Fields_.push_back({headers::CallId, Call});
  Answer.Fields_.push_back({headers::ServerVm, Vm});
  Answer.Fields_.push_back({headers::LoadReport, codec::toJson(Report).dump()});
}

bool injectAnswerFault(HttpAnswer &Answer, const Behaviour &Config,
                       pcg32 &Random) {
  if (drawBernoulli(Config.CutShare_, Random)) {
    Answer.CutAfter_ = bodyBytes(Answer) / 2;
    return true;
  }
  Answer.Twice_ = drawBernoulli(Config.TwiceShare_, Random);
  return false;
}

} // namespace cumingauge::emulator

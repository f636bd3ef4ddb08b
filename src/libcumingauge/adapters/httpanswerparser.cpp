#include "adapters/httpanswerparser.h"

namespace cumingauge::adapters {

namespace {

constexpr unsigned MaxInterimAnswers = 8;

} // namespace

void AnswerParser::start(bool ToHeadRequest) {
  ToHeadRequest_ = ToHeadRequest;
  InterimCount_ = 0;
  Status_ = 0;
  Fault_ = model::AnswerFault::None;
  startMessage();
}

void AnswerParser::startMessage() {
  Reader_.start();
  Reader_.parser().skip(ToHeadRequest_);
}

ReadStep AnswerParser::fail(model::AnswerFault Fault) {
  Fault_ = Fault;
  return ReadStep::Failed;
}

ReadStep AnswerParser::next() {
  while (true) {
    const ReadStep Step = Reader_.next();
    if (Step == ReadStep::Failed)
      return fail(faultOf(Reader_.error()));
    if (Step != ReadStep::Head)
      return Step;
    Status_ = parsed().get().result_int();
    if (const auto Fault = findHeadFault(parsed());
        Fault != model::AnswerFault::None)
      return fail(Fault);
    if (!isInterimStatus(Status_))
      return Step;
    if (++InterimCount_ > MaxInterimAnswers)
      return fail(model::AnswerFault::Interim);
    startMessage();
  }
}

} // namespace cumingauge::adapters

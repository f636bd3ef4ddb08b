#include "configreader.h"
#include <chrono>
#include <thread>

namespace cumingauge::ctl {

namespace {

constexpr model::milliseconds RetryDelay{200};

model::TimePoint now() { return std::chrono::steady_clock::now(); }

} // namespace

boost::leaf::result<control::StateReader>
readConfig(BlockingStoreClient &Store, const CtlSettings &Limits) {
  const model::TimePoint Deadline = now() + Limits.ChangeTimeout_;
  control::StateReader Reader;
  while (const auto Request = control::nextRequest(Reader)) {
    const ports::StoreResponse Answer = Store.call(*Request);
    control::handleResponse(Reader, Answer);
    if (Answer.Code_ == model::ResultCode::Ok)
      continue;
    if (now() >= Deadline)
      return fail(Answer.Code_,
                  "the store does not answer; `status` and `timeline` ask the "
                  "entry processes and work without it");
    std::this_thread::sleep_for(RetryDelay);
  }
  if (Reader.Phase_ != control::StateReader::Phase::Done)
    return fail(Reader.Reason_, "the store holds a value that cannot be read");
  return Reader;
}

} // namespace cumingauge::ctl

// What callers' connections hold, and which of them are evicted.
#include "adapters/httpworker.h"
#include "adapters/log.h"
#include "policy/callerconnections.h"
#include "policy/stalleduploads.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace cumingauge::adapters {

using model::ResultCode;

namespace {

/// A caller that sends anything in this time has not stalled.
constexpr model::milliseconds UploadStall{1000};
constexpr model::seconds LineWindow{1};
constexpr unsigned MaxLinesPerWindow = 10;

std::string nameOfUse(policy::CallerUse Use) {
  return boost::describe::enum_to_string(Use, "");
}

} // namespace

unsigned HttpWorker::maxCallerConnections() const {
  return std::min(limits().MaxCallerConnections_,
                  Common_->MostCallerConnections_);
}

void HttpWorker::checkCallerMemory() {
  if (ReliefScheduled_ || Common_->Memory_.held() <= MemoryMarks_.Bound_)
    return;
  ReliefScheduled_ = true;
  // Not at once, as the caller of this may be in the middle of a session.
  boost::asio::post(Io_, [this] {
    ReliefScheduled_ = false;
    relieveCallerMemory();
  });
}

void HttpWorker::relieveCallerMemory() {
  const std::vector<HttpCallerSession *> Open(Sessions_.begin(),
                                              Sessions_.end());
  std::vector<policy::CallerHolding> Holdings;
  Holdings.reserve(Open.size());
  for (const HttpCallerSession *Session : Open)
    Holdings.push_back(Session->holding());
  for (const std::size_t Index :
       policy::chooseEvictions(MemoryMarks_, Common_->Memory_.held(), Holdings))
    if (Sessions_.count(Open[Index]) > 0)
      endSession(*Open[Index], ResultCode::NotRunMemory);
}

/// Ends a connection so that a new one has a descriptor. Returns false when
/// none can be closed.
bool HttpWorker::displaceCallerConnection() {
  const std::vector<HttpCallerSession *> Open(Sessions_.begin(),
                                              Sessions_.end());
  std::vector<policy::CallerHolding> Holdings;
  Holdings.reserve(Open.size());
  for (const HttpCallerSession *Session : Open)
    Holdings.push_back(Session->holding());
  const auto Index = policy::chooseToDisplace(Holdings);
  if (Index)
    endSession(*Open[*Index], ResultCode::NotRunTooManyConnections);
  return Index.has_value();
}

void HttpWorker::endSession(HttpCallerSession &Session, ResultCode Code) {
  recordEviction(Session.holding(), Code);
  Session.evict(Code);
}

/// Gives up uploads that hold servers' places although their callers send
/// nothing.
void HttpWorker::endStalledUploads() {
  std::map<std::string, policy::ServiceUploads> Services;
  std::vector<HttpCallerSession *> Stalled;
  for (HttpCallerSession *Session : Sessions_) {
    if (const auto Call = Session->call())
      ++Services[Call->facts().Route_.Service_].Running_;
    if (const auto Call = Session->stalledUpload(UploadStall)) {
      ++Services[Call->facts().Route_.Service_].Stalled_;
      Stalled.push_back(Session);
    }
  }
  if (Stalled.empty())
    return;
  for (const auto &Queued : QueuedCalls_)
    if (const auto Call = Queued.second.lock())
      ++Services[Call->facts().Route_.Service_].Waiting_;
  std::sort(Stalled.begin(), Stalled.end(), [](const auto *A, const auto *B) {
    return A->holding().Since_ > B->holding().Since_;
  });
  std::map<std::string, unsigned> Left;
  for (const auto &[Service, Uploads] : Services)
    Left[Service] = policy::uploadsToGiveUp(Uploads);
  for (HttpCallerSession *Session : Stalled) {
    if (Sessions_.count(Session) == 0 || !Session->call())
      continue;
    unsigned &Rest = Left[Session->call()->facts().Route_.Service_];
    if (Rest == 0)
      continue;
    --Rest;
    endSession(*Session, ResultCode::RequestTimeout);
  }
}

void HttpWorker::recordEviction(const policy::CallerHolding &Holding,
                                ResultCode Code) {
  const std::string Use = nameOfUse(Holding.Use_);
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    ++Stats_.Evicted_[Use];
  }
  const model::TimePoint Now = now();
  if (Now - EvictionLines_.Start_ >= LineWindow) {
    EvictionLines_.Start_ = Now;
    EvictionLines_.Events_ = 0;
  }
  if (++EvictionLines_.Events_ > MaxLinesPerWindow) {
    ++EvictionLines_.Dropped_;
    return;
  }
  log(LogLevel::Warning, "caller connection evicted",
      {{"use", Use},
       {"code", static_cast<int>(Code)},
       {"bytes", Holding.Bytes_},
       {"waitedMs",
        std::chrono::duration_cast<model::milliseconds>(Holding.Since_)
            .count()},
       {"heldBytes", Common_->Memory_.held()},
       {"boundBytes", MemoryMarks_.Bound_},
       {"connections", Common_->CallerConnections_.load()},
       {"leftOut", std::exchange(EvictionLines_.Dropped_, 0)}});
}

} // namespace cumingauge::adapters

#include "emulator/storeservice.h"
#include "codec/describedjson.h"
#include "emulator/jsonanswer.h"
#include "emulator/ratelimiter.h"
#include "emulator/storeanswers.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <optional>

namespace cumingauge::emulator {

using codec::Json;
using model::milliseconds;
using ExchangePtr = std::shared_ptr<HttpExchange>;

namespace {

constexpr milliseconds LeaseCheckPeriod{100};
constexpr milliseconds DefaultWait{300000};
constexpr milliseconds DefaultLease{10000};

model::TimePoint now() { return std::chrono::steady_clock::now(); }

/// A watch that waits for a change or its timeout.
struct Waiter {
  ExchangePtr Exchange_;
  Target Target_;
  std::string Key_;
  std::uint64_t Seen_ = 0;
  model::TimePoint Deadline_;
};

} // namespace

struct StoreService::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context &Context, const StoreSettings &Settings)
      : Context_(Context), Timer_(Context), Settings_(Settings),
        Faults_(Settings.Faults_), ServedVms_(Settings.Faults_.Vms_) {
    Writes_.PerSecond_ = Writes_.Tokens_ = Settings.WritesPerSecond_;
    Reads_.PerSecond_ = Reads_.Tokens_ = Settings.ReadsPerSecond_;
    Writes_.Updated_ = Reads_.Updated_ = now();
  }

  void handle(const ExchangePtr &Exchange) {
    const HttpRequest &Request = Exchange->Request_;
    const auto Parsed = parseTarget(Request.Target_);
    if (!Parsed)
      return Exchange->Answer_(textAnswer(400, "invalid request target"));
    if (Parsed->Path_ == "/control" && Request.Method_ == "POST")
      return control(Exchange);
    if (Parsed->Path_ == "/control/copy" && Request.Method_ == "POST")
      return takeCopy(Exchange);
    if (Parsed->Path_ == "/control/restore" && Request.Method_ == "POST")
      return restore(Exchange);
    if (Parsed->Path_ == "/control/counters")
      return Exchange->Answer_(jsonAnswer(200, codec::toJson(counters())));
    if (Faults_.Down_) {
      ++Counters_.Dropped_;
      return Exchange->Drop_(false);
    }
    const bool IsWrite =
        Request.Method_ == "PUT" || Request.Method_ == "DELETE";
    ++(IsWrite ? Counters_.Writes_ : Counters_.Reads_);
    if (!takeToken(IsWrite ? Writes_ : Reads_, now())) {
      ++Counters_.RateLimited_;
      return Exchange->Answer_(textAnswer(429, "rate limited"));
    }
    if (IsWrite)
      return write(Exchange, *Parsed);
    read(Exchange, *Parsed);
  }

  void read(const ExchangePtr &Exchange, const Target &Where) {
    if (Where.Path_ == "/v1/catalog/nodes") {
      ++Counters_.VmLists_;
      return answer(Exchange, vmListAnswer(ServedVms_));
    }
    const auto Key = keyOfTarget(Where);
    if (!Key)
      return answer(Exchange, textAnswer(404, "no such path"));
    if (!Where.has("index"))
      return answer(Exchange, keyAnswer(Model_, Where, *Key));
    watch({Exchange, Where, *Key, Where.number("index", 0),
           now() + parseWait(Where.value("wait"), DefaultWait)});
  }

  void watch(const Waiter &New) {
    ++Counters_.Watches_;
    if (isDue(New))
      return answer(New.Exchange_, keyAnswer(Model_, New.Target_, New.Key_));
    const auto Position = Waiters_.insert(Waiters_.end(), New);
    New.Exchange_->OnDisconnect_ = [this, Position] {
      Waiters_.erase(Position);
    };
    armTimer();
  }

  bool isDue(const Waiter &Watch) const {
    return isWatchDue(Model_, Watch.Key_, isRecursive(Watch.Target_),
                      Watch.Seen_);
  }

  void write(const ExchangePtr &Exchange, const Target &Where) {
    if (Exchange->Request_.BodyBytes_ > Settings_.MaxValueBytes_)
      return answer(Exchange, textAnswer(413, "value too large"));
    if (Faults_.LandLate_ > 0) {
      --Faults_.LandLate_;
      ++Counters_.Dropped_;
      runAfter(Faults_.LandLateBy_,
               [Self = shared_from_this(), Request = Exchange->Request_,
                Where] { Self->applyWrite(Request, Where); });
      return Exchange->Drop_(false);
    }
    const HttpAnswer Answer = applyWrite(Exchange->Request_, Where);
    if (Faults_.LoseAnswers_ > 0) {
      --Faults_.LoseAnswers_;
      ++Counters_.Dropped_;
      return Exchange->Drop_(false);
    }
    answer(Exchange, Answer);
  }

  /// Applies a write to the keys or leases and answers the watches that it
  /// concerns.
  HttpAnswer applyWrite(const HttpRequest &Request, const Target &Where) {
    expireLeases(Model_, now());
    HttpAnswer Answer = Where.Path_.rfind("/v1/session/", 0) == 0
                            ? applyToLease(Request, Where)
                            : applyToKey(Request, Where);
    wakeWaiters();
    return Answer;
  }

  HttpAnswer applyToKey(const HttpRequest &Request, const Target &Where) {
    const auto Key = keyOfTarget(Where);
    if (!Key || Key->empty())
      return textAnswer(404, "no such path");
    std::optional<std::uint64_t> Cas;
    if (Where.has("cas"))
      Cas = Where.number("cas", 0);
    if (Request.Method_ == "DELETE")
      return textAnswer(200, removeKey(Model_, *Key, Cas) ? "true" : "false");
    const bool Written =
        writeKey(Model_, {*Key, Request.Body_, Cas, Where.value("acquire"),
                          Where.value("release")});
    return textAnswer(200, Written ? "true" : "false");
  }

  HttpAnswer applyToLease(const HttpRequest &Request, const Target &Where) {
    if (Where.Path_ == "/v1/session/create") {
      const Json Body = Json::parse(Request.Body_, nullptr, false);
      const std::string Ttl =
          Body.is_object() ? Body.value("TTL", std::string()) : "";
      const std::string Id =
          createLease(Model_, parseWait(Ttl, DefaultLease), now());
      return jsonAnswer(200, {{"ID", Id}});
    }
    const std::size_t Slash = Where.Path_.rfind('/');
    const std::string Id = Where.Path_.substr(Slash + 1);
    const std::string Operation = Where.Path_.substr(0, Slash);
    if (Operation == "/v1/session/renew")
      return renewLease(Model_, Id, now())
                 ? jsonAnswer(200, Json::array({{{"ID", Id}}}))
                 : textAnswer(404, "no such session");
    if (Operation != "/v1/session/destroy")
      return textAnswer(404, "no such path");
    destroyLease(Model_, Id);
    return textAnswer(200, "true");
  }

  /// Answers the watches that have seen a change or have timed out.
  void wakeWaiters() {
    for (auto It = Waiters_.begin(); It != Waiters_.end();) {
      if (!isDue(*It) && It->Deadline_ > now()) {
        ++It;
        continue;
      }
      It->Exchange_->OnDisconnect_ = nullptr;
      answer(It->Exchange_, keyAnswer(Model_, It->Target_, It->Key_));
      It = Waiters_.erase(It);
    }
  }

  /// Sets the timer for the next timeout of a watch, or for the next check of
  /// the leases if that is earlier.
  void armTimer() {
    model::TimePoint Next = now() + LeaseCheckPeriod;
    for (const Waiter &Watch : Waiters_)
      Next = std::min(Next, Watch.Deadline_);
    Timer_.expires_at(Next);
    Timer_.async_wait([Weak = weak_from_this()](auto Error) {
      const auto Self = Weak.lock();
      if (Error || !Self || Self->Stopped_)
        return;
      expireLeases(Self->Model_, now());
      Self->wakeWaiters();
      Self->armTimer();
    });
  }

  /// Answers a request after the injected delay.
  void answer(const ExchangePtr &Exchange, const HttpAnswer &Answer) {
    if (Faults_.Slow_.count() == 0)
      return Exchange->Answer_(Answer);
    runAfter(Faults_.Slow_, [Exchange, Answer] { Exchange->Answer_(Answer); });
  }

  void runAfter(milliseconds Delay, std::function<void()> Action) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context_, Delay);
    Timer->async_wait([Timer, Action = std::move(Action)](auto Error) {
      if (!Error)
        Action();
    });
  }

  /// Changes the injected faults by the keys in the body of the request.
  void control(const ExchangePtr &Exchange) {
    const Json Body = Json::parse(Exchange->Request_.Body_, nullptr, false);
    StoreFaults Next = Faults_;
    model::Problems Found;
    codec::fromJson(Body, "", Next, Found);
    if (!Found.empty())
      return Exchange->Answer_(jsonAnswer(400, codec::toJson(Found)));
    if (Next.Vms_ != Faults_.Vms_)
      runAfter(Next.VmListLag_, [Self = shared_from_this(), Vms = Next.Vms_] {
        Self->ServedVms_ = Vms;
      });
    Faults_ = Next;
    if (Faults_.Down_)
      dropWaiters();
    Exchange->Answer_(jsonAnswer(200, codec::toJson(Faults_)));
  }

  void takeCopy(const ExchangePtr &Exchange) {
    expireLeases(Model_, now());
    Copy_ = Model_;
    Exchange->Answer_(jsonAnswer(200, codec::toJson(counters())));
  }

  /// Returns to the last copy and drops the watches that wait.
  void restore(const ExchangePtr &Exchange) {
    if (!Copy_)
      return Exchange->Answer_(textAnswer(409, "no copy was taken"));
    restoreCopy(Model_, *Copy_, now());
    dropWaiters();
    Exchange->Answer_(jsonAnswer(200, codec::toJson(counters())));
  }

  void dropWaiters() {
    for (Waiter &Watch : Waiters_) {
      Watch.Exchange_->OnDisconnect_ = nullptr;
      Watch.Exchange_->Drop_(false);
    }
    Waiters_.clear();
  }

  StoreCounters counters() const {
    StoreCounters Out = Counters_;
    Out.Index_ = Model_.Index_;
    Out.Keys_ = Model_.Values_.size();
    Out.Waiting_ = Waiters_.size();
    return Out;
  }

  boost::asio::io_context &Context_;
  boost::asio::steady_timer Timer_;
  const StoreSettings Settings_;
  StoreFaults Faults_;
  std::vector<ListedVm> ServedVms_;
  StoreModel Model_;
  std::optional<StoreModel> Copy_; ///< to which the store may be restored
  RateLimiter Writes_;
  RateLimiter Reads_;
  StoreCounters Counters_;
  std::list<Waiter> Waiters_;
  bool Stopped_ = false; ///< tells a queued timer handler to end, too
  std::unique_ptr<HttpServer> Server_;
};

StoreService::StoreService(boost::asio::io_context &Context,
                           const StoreSettings &Settings)
    : State_(std::make_shared<State>(Context, Settings)) {}

std::uint16_t StoreService::start() {
  State *Raw = State_.get();
  HttpServerOptions Options;
  Options.KeptBodyBytes_ = State_->Settings_.MaxValueBytes_;
  State_->Server_ = std::make_unique<HttpServer>(
      State_->Context_,
      [Raw](const ExchangePtr &Exchange) { Raw->handle(Exchange); }, Options);
  const std::uint16_t Port = State_->Server_->listen(
      State_->Settings_.Listen_.Host_, State_->Settings_.Listen_.Port_);
  State_->armTimer();
  return Port;
}

void StoreService::stop() {
  State_->Stopped_ = true;
  State_->Timer_.cancel();
  State_->dropWaiters();
  State_->Server_.reset();
}

StoreCounters StoreService::counters() const { return State_->counters(); }

} // namespace cumingauge::emulator

#include "emulator/fakeserver.h"
#include "emulator/jsonanswer.h"
#include "emulator/probecounter.h"
#include "emulator/serveranswers.h"
#include "emulator/slots.h"
#include "traffic/headers.h"
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>

namespace cumingauge::emulator {

using codec::Json;
using model::TimePoint;
using ExchangePtr = std::shared_ptr<HttpExchange>;
namespace headers = traffic::headers;

namespace {

/// Entries in the answer to GET /journal when the query has no limit.
constexpr std::size_t DefaultJournalLimit = 50000;

TimePoint now() { return std::chrono::steady_clock::now(); }

/// A call or a probe that waits or runs at the server.
struct Work {
  ExchangePtr Exchange_;
  Target Target_;
  std::string Call_;
  std::uint64_t AnswerBytes_ = 0;
  bool Probe_ = false;
  TimePoint Deadline_ = TimePoint::max();
  /// Sequence number in the journal, 0 while the call waits.
  std::uint64_t Entry_ = 0;
  std::unique_ptr<boost::asio::steady_timer> Timer_;
};

/// Returns the deadline in the request's header; the latest time when it has
/// none.
TimePoint deadlineOf(const HttpRequest &Request) {
  const std::string Text = fieldOf(Request, headers::DeadlineMs);
  if (Text.empty())
    return TimePoint::max();
  return now() + model::milliseconds(std::strtoll(Text.c_str(), nullptr, 10));
}

} // namespace

struct FakeServer::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context &Context, ServerSettings Settings,
        Behaviour Config, std::size_t JournalEntries,
        std::shared_ptr<JournalFile> File, std::uint64_t Seed)
      : Context_(Context), Settings_(std::move(Settings)),
        Config_(std::move(Config)), Random_(Seed),
        Journal_(Settings_.Name_, JournalEntries, std::move(File)) {}

  void handle(const ExchangePtr &Exchange) {
    const auto Parsed = parseTarget(Exchange->Request_.Target_);
    if (!Parsed)
      return Exchange->Answer_(textAnswer(400, "invalid request target"));
    if (Admin_ && Admin_(Exchange, *Parsed))
      return;
    if (Config_.Frozen_) {
      Frozen_.push_back(
          [this, Exchange, Where = *Parsed] { admit(Exchange, Where); });
      return;
    }
    admit(Exchange, *Parsed);
  }

  /// Admits a call or a probe to a slot or the queue, or refuses it.
  void admit(const ExchangePtr &Exchange, const Target &Where) {
    Work New;
    New.Exchange_ = Exchange;
    New.Target_ = Where;
    New.Probe_ = Where.Path_ == "/load" || Where.Path_ == "/health";
    if (New.Probe_) {
      countProbe(Probes_, now());
      if (Config_.ProbeCost_.count() == 0 || Config_.Draining_)
        return answerProbe(New);
    } else if (drawBernoulli(Config_.ResetShare_, Random_)) {
      return Exchange->Drop_(true);
    }
    New.Call_ = fieldOf(Exchange->Request_, headers::CallId);
    New.Deadline_ = deadlineOf(Exchange->Request_);
    const WorkId Id = ++LastWork_;
    const Admission Result = admitWork(Slots_, Config_, Id, now());
    if (Result != Admission::Started && Result != Admission::Queued)
      return refuse(New, Result);
    Exchange->OnDisconnect_ = [this, Id] { onCallerGone(Id); };
    Works_.emplace(Id, std::move(New));
    if (Result == Admission::Started)
      run(Id);
  }

  void refuse(const Work &Refused, Admission Reason) {
    if (Refused.Probe_)
      return answerProbe(Refused);
    ++Refused_;
    reply(Refused, refusalAnswer(Reason));
  }

  /// Starts work that has got a slot. A timer ends it after its service time or
  /// at its deadline.
  void run(WorkId Id) {
    Work &Started = Works_.at(Id);
    if (!Started.Probe_ && Config_.HonoursDeadline_ &&
        Started.Deadline_ <= now()) {
      refuse(Started, Admission::Shed);
      return finishWork(Id);
    }
    model::Duration Time = Config_.ProbeCost_;
    if (!Started.Probe_) {
      Started.Entry_ = Journal_.begin(
          Started.Call_, fieldOf(Started.Exchange_->Request_, headers::Attempt),
          Started.Target_.Path_);
      if (drawBernoulli(Config_.FailShare_, Random_))
        return fail(Id);
      Time = drawTime(Started);
    }
    const TimePoint End = now() + Time;
    const bool EndsAtDeadline =
        Config_.HonoursDeadline_ && Started.Deadline_ < End;
    Started.Timer_ = std::make_unique<boost::asio::steady_timer>(
        Context_, EndsAtDeadline ? Started.Deadline_ : End);
    Started.Timer_->async_wait(
        [Weak = weak_from_this(), Id, EndsAtDeadline](auto Error) {
          const auto Self = Weak.lock();
          if (!Error && Self)
            Self->onServiceEnd(Id, EndsAtDeadline);
        });
  }

  model::Duration drawTime(Work &Started) {
    const ServiceTime &Time = serviceTimeFor(Config_, Started.Target_.Path_);
    Started.AnswerBytes_ = Started.Target_.number("bytes", Time.AnswerBytes_);
    if (Started.Target_.has("serviceUs"))
      return model::microseconds(Started.Target_.number("serviceUs", 0));
    return drawServiceTime(Config_, Time, now() - Slots_.Started_, Random_);
  }

  void onServiceEnd(WorkId Id, bool EndsAtDeadline) {
    if (Config_.Frozen_) {
      Frozen_.push_back(
          [this, Id, EndsAtDeadline] { onServiceEnd(Id, EndsAtDeadline); });
      return;
    }
    const auto Found = Works_.find(Id);
    if (Found == Works_.end())
      return;
    // Frees the slot first, so that the load report of the answer leaves this
    // work out.
    const Work Ended = std::move(Found->second);
    finishWork(Id);
    Ended.Exchange_->OnDisconnect_ = nullptr;
    if (Ended.Probe_) {
      answerProbe(Ended);
    } else if (EndsAtDeadline) {
      Journal_.end(Ended.Entry_, RunEnd::Deadline);
      reply(Ended, textAnswer(504, "deadline passed\n"));
    } else {
      answerCall(Ended);
    }
  }

  /// Answers a call that has run to its end, with the faults that are drawn.
  void answerCall(const Work &Ended) {
    HttpAnswer Answer = callAnswer(Ended.Call_, Ended.AnswerBytes_,
                                   Ended.Target_.has("chunked"));
    const bool IsTruncated = injectAnswerFault(Answer, Config_, Random_);
    Journal_.end(Ended.Entry_, IsTruncated ? RunEnd::CutShort : RunEnd::Whole);
    if (!drawBernoulli(Config_.LateShare_, Random_))
      return reply(Ended, std::move(Answer));
    addIdentity(Answer, Ended.Call_, Settings_.Vm_, report());
    auto Timer =
        std::make_shared<boost::asio::steady_timer>(Context_, Config_.LateBy_);
    Timer->async_wait([Timer, Exchange = Ended.Exchange_,
                       Answer = std::move(Answer)](auto Error) {
      if (!Error)
        Exchange->Answer_(Answer);
    });
  }

  model::LoadReport report() const {
    return reportLoad(Slots_, Config_, now());
  }

  void reply(const Work &To, HttpAnswer Answer) const {
    addIdentity(Answer, To.Call_, Settings_.Vm_, report());
    To.Exchange_->Answer_(std::move(Answer));
  }

  void fail(WorkId Id) {
    const Work &Failed = Works_.at(Id);
    Journal_.end(Failed.Entry_, RunEnd::Failed);
    Failed.Exchange_->OnDisconnect_ = nullptr;
    reply(Failed, textAnswer(500, "failed\n"));
    finishWork(Id);
  }

  /// Removes ended work and starts the next work of the queue in its slot.
  void finishWork(WorkId Id) {
    Works_.erase(Id);
    if (const auto Next = endWork(Slots_, Config_, now()))
      run(*Next);
  }

  /// Removes a waiting call and, when cancellation is honoured, ends a running
  /// one.
  void onCallerGone(WorkId Id) {
    const auto Found = Works_.find(Id);
    if (Found == Works_.end())
      return;
    if (removeWaitingWork(Slots_, Id, now())) {
      Works_.erase(Found);
      return;
    }
    if (!Config_.HonoursCancel_ || Config_.Frozen_)
      return;
    if (Found->second.Entry_)
      Journal_.end(Found->second.Entry_, RunEnd::Cancelled);
    finishWork(Id);
  }

  void answerProbe(const Work &Probe) const {
    reply(Probe, probeAnswer(Probe.Target_.Path_ == "/health", report()));
  }

  /// Changes the behaviour by the keys of \p Body, unless one of them is
  /// invalid.
  model::Problems changeBehaviour(const Json &Body) {
    Behaviour Next = Config_;
    model::Problems Found;
    codec::fromJson(Body, "", Next, Found);
    if (Found.empty())
      Found = checkBehaviour(Next, "");
    if (!Found.empty())
      return Found;
    Config_ = Next;
    if (!Config_.Frozen_) {
      const auto Deferred = std::move(Frozen_);
      Frozen_.clear();
      for (const auto &Action : Deferred)
        Action();
    }
    return Found;
  }

  std::uint16_t listen() {
    Slots_.Started_ = now();
    HttpServerOptions Options;
    Options.MaxConnections_ = Config_.MaxConnections_;
    Options.ConnectionCost_ = [this] {
      ++Accepted_;
      return Config_.ConnectionCost_;
    };
    Server_ = std::make_unique<HttpServer>(
        Context_, [this](const ExchangePtr &Exchange) { handle(Exchange); },
        Options);
    Settings_.Port_ = Server_->listen(Settings_.Host_, Settings_.Port_);
    return Settings_.Port_;
  }

  void stop(StopMode Mode) {
    if (!Server_)
      return;
    const bool Kill = Mode == StopMode::Kill;
    for (auto &Entry : Works_) {
      Entry.second.Exchange_->OnDisconnect_ = nullptr;
      if (Entry.second.Entry_)
        Journal_.end(Entry.second.Entry_,
                     Kill ? RunEnd::Killed : RunEnd::CutOff);
    }
    Works_.clear();
    Frozen_.clear();
    Slots_ = {};
    Server_->stopListening();
    Server_->closeConnections(Kill);
    Server_.reset();
  }

  boost::asio::io_context &Context_;
  ServerSettings Settings_;
  Behaviour Config_;
  pcg32 Random_;
  Journal Journal_;
  Slots Slots_;
  std::map<WorkId, Work> Works_;
  WorkId LastWork_ = 0;
  /// Work deferred while Config_.Frozen_ is true.
  std::vector<std::function<void()>> Frozen_;
  std::uint64_t Refused_ = 0;
  ProbeCounter Probes_;
  std::uint64_t Accepted_ = 0;
  std::function<bool(const ExchangePtr &, const Target &)> Admin_;
  std::unique_ptr<HttpServer> Server_;
};

FakeServer::FakeServer(boost::asio::io_context &Context,
                       ServerSettings Settings, Behaviour Config,
                       std::size_t JournalEntries,
                       std::shared_ptr<JournalFile> File, std::uint64_t Seed)
    : State_(std::make_shared<State>(Context, std::move(Settings),
                                     std::move(Config), JournalEntries,
                                     std::move(File), Seed)) {}

FakeServer::~FakeServer() = default;

std::uint16_t FakeServer::start() {
  State_->Admin_ = [Weak = weak_from_this()](const ExchangePtr &Exchange,
                                             const Target &Where) {
    const auto Self = Weak.lock();
    return Self && Self->handleAdmin(Exchange, Where);
  };
  return State_->listen();
}

void FakeServer::stop(StopMode Mode) { State_->stop(Mode); }

bool FakeServer::handleAdmin(const ExchangePtr &Exchange, const Target &Where) {
  if (Where.Path_ == "/journal") {
    HttpAnswer Answer = textAnswer(
        200,
        State_->Journal_.lines(Where.number("after", 0),
                               Where.number("limit", DefaultJournalLimit)));
    Exchange->Answer_(std::move(Answer));
    return true;
  }
  if (Where.Path_ == "/counters") {
    Exchange->Answer_(jsonAnswer(200, codec::toJson(counters())));
    return true;
  }
  if (Where.Path_ != "/control")
    return false;
  const Json Body = Json::parse(Exchange->Request_.Body_, nullptr, false);
  const model::Problems Found = State_->changeBehaviour(Body);
  Exchange->Answer_(Found.empty()
                        ? jsonAnswer(200, codec::toJson(State_->Config_))
                        : jsonAnswer(400, codec::toJson(Found)));
  return true;
}

ServerCounters FakeServer::counters() const {
  const State &S = *State_;
  ServerCounters Out;
  Out.Server_ = S.Settings_.Name_;
  Out.Vm_ = S.Settings_.Vm_;
  Out.Port_ = S.Settings_.Port_;
  Out.Listening_ = S.Server_ != nullptr;
  Out.Running_ = S.Slots_.Running_;
  Out.Waiting_ = static_cast<unsigned>(S.Slots_.Waiting_.size());
  Out.Connections_ = S.Server_ ? S.Server_->connections() : 0;
  Out.Started_ = S.Journal_.started();
  Out.JournalDropped_ = S.Journal_.dropped();
  Out.Refused_ = S.Refused_;
  Out.Probes_ = S.Probes_.Total_;
  Out.PeakProbesPerSecond_ = S.Probes_.PeakPerSecond_;
  Out.ConnectionsAccepted_ = S.Accepted_;
  return Out;
}

boost::asio::io_context &FakeServer::context() { return State_->Context_; }

const std::string &FakeServer::name() const { return State_->Settings_.Name_; }

} // namespace cumingauge::emulator

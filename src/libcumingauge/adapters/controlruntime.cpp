#include "adapters/controlruntime.h"
#include "adapters/latestevents.h"
#include "adapters/log.h"
#include "adapters/messageclock.h"
#include "adapters/peerlinks.h"
#include "adapters/storeclient.h"
#include "control/freshness.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <ctime>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace cumingauge::adapters {

namespace {

namespace asio = boost::asio;
using control::CoreInput;

constexpr model::milliseconds FiguresPeriod{500};
/// Time for the messages of a goodbye to leave.
constexpr model::milliseconds GoodbyeTime{200};

model::TimePoint now() { return std::chrono::steady_clock::now(); }

std::uint64_t wallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<model::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Processor time of the calling thread.
std::uint64_t threadCpuMicros() {
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return static_cast<std::uint64_t>(Used.tv_sec) * 1000000U +
         static_cast<std::uint64_t>(Used.tv_nsec) / 1000U;
}

std::string nameOf(const ports::StoreRequest &Request) {
  return boost::describe::enum_to_string(Request.Operation_, "");
}

std::string nameOf(const ports::DirectoryRequest &Request) {
  const std::string Operation =
      boost::describe::enum_to_string(Request.Operation_, "");
  if (Request.Operation_ == ports::DirectoryOperation::Ping)
    return Operation;
  return Operation + boost::describe::enum_to_string(Request.Topic_, "");
}

HttpClientSettings storeSettings(const ControlSettings &Settings) {
  HttpClientSettings Out;
  Out.Host_ = Settings.Store_.Host_;
  Out.Port_ = Settings.Store_.Port_;
  return Out;
}

PeerLinksSettings linkSettings(const ControlSettings &Settings) {
  PeerLinksSettings Out;
  Out.Host_ = Settings.Peer_.Host_;
  Out.Port_ = Settings.Peer_.Port_;
  Out.Handshake_.Key_ = Settings.Key_;
  return Out;
}

control::CoreSettings coreSettings(const ControlSettings &Settings,
                                   const model::Member &Self) {
  control::CoreSettings Out;
  Out.Self_ = Self;
  Out.HeartbeatPeriod_ = Settings.HeartbeatPeriod_;
  Out.LeavingBound_ = Settings.LeavingBound_;
  for (const AddressSettings &Seed : Settings.SeedPeers_) {
    model::Member Peer;
    Peer.Host_ = Seed.Host_;
    Peer.Port_ = Seed.Port_;
    Out.SeedPeers_.push_back(Peer);
  }
  return Out;
}

class Runtime final : public ControlRuntime,
                      public std::enable_shared_from_this<Runtime> {
public:
  Runtime(const ControlSettings &Settings, Hooks Hooks,
          const std::shared_ptr<EventRing> &Ring)
      : Settings_(Settings), Hooks_(std::move(Hooks)), Ring_(Ring),
        Clock_(Ring), Store_(makeStoreClient(Io_, storeSettings(Settings))),
        Directory_(Hooks_.MakeDirectory_ ? Hooks_.MakeDirectory_(Io_)
                                         : ports::Directory()),
        Links_(Io_, linkSettings(Settings), linkHandlers()), Ticker_(Io_) {
    Limits_.Limit_ = Settings.FreshnessLimit_;
  }

  ~Runtime() override { stop(); }

  void start() {
    Links_.listen();
    model::Member Self;
    Self.Process_ = Settings_.Process_;
    Self.Incarnation_ = wallMs();
    Self.Zone_ = Settings_.Zone_;
    Self.Region_ = Settings_.Region_;
    Self.Host_ = Settings_.Peer_.Host_;
    Self.Port_ = Links_.port();
    Self.LinkMbps_ = Settings_.LinkMbps_;
    Links_.setSelf(Self);
    control::CoreSettings CoreOptions = coreSettings(Settings_, Self);
    CoreOptions.FollowsDirectory_ = Directory_.Execute_ != nullptr;
    Core_ = control::makeCore(CoreOptions, std::random_device{}());
    Thread_ = std::thread([this] { run(); });
  }

  bool isFresh(model::TimePoint Now) const override {
    return Now.time_since_epoch().count() <
           DispatchDeadline_.load(std::memory_order_acquire);
  }

  void noteSighting(control::ServerObservation Sighting) override {
    const std::lock_guard<std::mutex> Lock(SightingsMutex_);
    Sightings_[{Sighting.Server_, Sighting.Vm_}] = std::move(Sighting);
  }

  ControlFigures stats() const override {
    const std::lock_guard<std::mutex> Lock(FiguresMutex_);
    return Figures_;
  }

  std::uint16_t peerPort() const override { return Links_.port(); }

  void stop() override {
    if (!Thread_.joinable())
      return;
    asio::post(Io_, [this] { sayGoodbye(); });
    Thread_.join();
  }

private:
  void run() {
    feed(control::Started{});
    tick();
    Io_.run();
  }

  void tick() {
    feedSightings();
    feed(control::Ticked{});
    Links_.expireHandshakes(now());
    updateFigures();
    flushLog();
    Ticker_.expires_after(Settings_.TickPeriod_);
    Ticker_.async_wait([this](const boost::system::error_code &Cancelled) {
      if (!Cancelled)
        tick();
    });
  }

  /// Passes on the latest word of each server. Servers speak with every answer;
  /// the control thread hears them once a tick.
  void feedSightings() {
    SightingsByServer Latest;
    {
      const std::lock_guard<std::mutex> Lock(SightingsMutex_);
      Latest.swap(Sightings_);
    }
    for (auto &Entry : Latest)
      feed(control::ServerReportReceived{std::move(Entry.second)});
  }

  void sayGoodbye() {
    feed(control::Stopping{});
    Ticker_.expires_after(GoodbyeTime);
    Ticker_.async_wait([this](const boost::system::error_code &) {
      Links_.stop();
      Io_.stop();
    });
  }

  PeerLinkHandlers linkHandlers() {
    PeerLinkHandlers Out;
    Out.OnOpened_ = [this](const OpenedLink &Link) {
      if (Link.Operator_)
        OperatorLinks_.insert(Link.Link_);
      feed(control::LinkOpened{Link.Link_, Link.Peer_, Link.Operator_,
                               Link.Ordered_});
    };
    Out.OnMessage_ = [this](control::LinkId Link,
                            control::PeerMessage Message) {
      Clock_.observe(Message);
      if (OperatorLinks_.count(Link) > 0)
        recordAccepted(Message);
      feed(control::PeerMessageReceived{Link, std::move(Message)});
    };
    Out.OnClosed_ = [this](control::LinkId Link, model::ResultCode) {
      OperatorLinks_.erase(Link);
      feed(control::LinkClosed{Link});
    };
    Out.OnFailed_ = [this](const std::string &Host, std::uint16_t Port,
                           model::ResultCode) {
      feed(control::LinkFailed{Host, Port});
    };
    return Out;
  }

  /// Operators hand over changes that the store has accepted.
  void recordAccepted(const control::PeerMessage &Message) {
    if (const auto *Entries = std::get_if<control::Entries>(&Message))
      for (const model::Change &Change : Entries->Changes_)
        Ring_->record(model::EventKind::ChangeAccepted, Change.Id_,
                      Change.Version_, model::ResultCode::Ok, Change.Author_);
  }

  /// Runs the control state; inputs that arrive meanwhile wait their turn.
  void feed(CoreInput Input) {
    Waiting_.push_back(std::move(Input));
    if (IsFeeding_)
      return;
    IsFeeding_ = true;
    while (!Waiting_.empty()) {
      const CoreInput Next = std::move(Waiting_.front());
      Waiting_.pop_front();
      for (const control::CoreCommand &Order :
           control::step(*Core_, Next, now()))
        std::visit([this](const auto &What) { execute(What); }, Order);
    }
    IsFeeding_ = false;
    DispatchDeadline_.store(
        control::dispatchDeadline(control::freshnessFacts(*Core_), Limits_)
            .time_since_epoch()
            .count(),
        std::memory_order_release);
  }

  void count(const std::string &What, model::ResultCode Code) {
    ++StoreCalls_[{What, std::string(model::nameOf(Code))}];
  }

  void execute(const control::CallStore &Order) {
    const std::string What = nameOf(Order.Request_);
    Store_.Execute_(Order.Request_, [this, What, Call = Order.Call_](
                                        const ports::StoreResponse &Response) {
      count(What, Response.Code_);
      feed(control::StoreResponseReceived{Call, Response});
    });
  }

  void execute(const control::CallDirectory &Order) {
    const std::string What = nameOf(Order.Request_);
    Directory_.Execute_(
        Order.Request_, [this, What, Call = Order.Call_](
                            const ports::DirectoryResponse &Response) {
          count(What, Response.Code_);
          feed(control::DirectoryResponseReceived{Call, Response});
        });
  }

  void execute(const control::OpenLink &Order) {
    Links_.open(Order.Host_, Order.Port_);
  }

  void execute(const control::CloseLink &Order) {
    Links_.close(Order.Link_, Order.Reason_);
  }

  void execute(const control::SendPeer &Order) {
    Links_.send(Order.Link_, Clock_.stamp(Order.Message_));
  }

  void execute(const control::PublishView &Order) {
    if (Hooks_.OnView_)
      Hooks_.OnView_(Order.View_);
  }

  void execute(const control::PublishObservations &Order) {
    if (Hooks_.OnSightings_)
      Hooks_.OnSightings_(Order.Sightings_);
  }

  void execute(const control::RecordEvent &Order) {
    Ring_->record(Order.Kind_, Order.Subject_, Order.Version_, Order.Reason_,
                  Order.Detail_);
    log(LogLevel::Info, boost::describe::enum_to_string(Order.Kind_, ""),
        {{"subject", Order.Subject_},
         {"version", Order.Version_},
         {"reason", std::string(model::nameOf(Order.Reason_))},
         {"detail", Order.Detail_}});
  }

  void execute(const control::AnswerOperator &Order) {
    if (const auto *Asked =
            std::get_if<control::StatusRequest>(&Order.Request_))
      return answer(Order.Link_, statusReply(*Asked));
    if (const auto *Asked =
            std::get_if<control::TimelineRequest>(&Order.Request_))
      answer(Order.Link_, latestEvents(*Ring_, Asked->SinceMs_));
  }

  void answer(control::LinkId Link, control::PeerMessage Message) {
    Links_.send(Link,
                std::make_shared<control::PeerMessage>(std::move(Message)));
  }

  control::StatusReply statusReply(const control::StatusRequest &Asked) const {
    control::StatusReply Out{control::describeCore(*Core_, now())};
    if (!Asked.WithMembers_)
      Out.Status_.Members_.clear();
    Out.Status_.Ready_ = !Hooks_.IsReady_ || Hooks_.IsReady_();
    if (Hooks_.Activity_)
      Out.Status_.Servers_ = Hooks_.Activity_();
    return Out;
  }

  void updateFigures() {
    const model::TimePoint Now = now();
    if (Now < NextFigures_)
      return;
    NextFigures_ = Now + FiguresPeriod;
    const model::ProcessStatus Status = control::describeCore(*Core_, now());
    const PeerLinkFigures Links = Links_.stats();
    const std::lock_guard<std::mutex> Lock(FiguresMutex_);
    Figures_.StoreCalls_ = StoreCalls_;
    Figures_.PeerMessagesSent_ = Links.MessagesSent_;
    Figures_.PeerMessagesReceived_ = Links.MessagesReceived_;
    Figures_.PeerBytesSent_ = Links.BytesSent_;
    Figures_.PeerBytesReceived_ = Links.BytesReceived_;
    Figures_.ThreadCpuMicros_ = threadCpuMicros();
    Figures_.Version_ = Status.Version_;
    Figures_.ViewAgeMs_ = Status.ViewAgeMs_;
    Figures_.Links_ = Links.Links_;
    Figures_.FleetSize_ = Status.FleetSize_;
    Figures_.TakenAt_ = now();
  }

  const ControlSettings Settings_;
  const Hooks Hooks_;
  const std::shared_ptr<EventRing> Ring_;
  MessageClock Clock_;
  control::FreshnessLimits Limits_;
  asio::io_context Io_{1};
  ports::Store Store_;
  ports::Directory Directory_; ///< without a function when there is none
  PeerLinks Links_;
  asio::steady_timer Ticker_;
  std::shared_ptr<control::CoreState> Core_;
  std::thread Thread_;

  using SightingsByServer =
      std::map<std::pair<std::string, std::string>, control::ServerObservation>;
  std::mutex SightingsMutex_;
  SightingsByServer Sightings_; ///< since the last tick

  std::set<control::LinkId> OperatorLinks_;
  std::deque<CoreInput> Waiting_;
  bool IsFeeding_ = false;
  StoreCallCounts StoreCalls_;
  model::TimePoint NextFigures_;

  /// Nanoseconds of the monotonic clock.
  std::atomic<model::TimePoint::rep> DispatchDeadline_{
      model::TimePoint::min().time_since_epoch().count()};
  mutable std::mutex FiguresMutex_;
  ControlFigures Figures_;
};

} // namespace

std::shared_ptr<ControlRuntime>
startControl(const ControlSettings &Settings, ControlRuntime::Hooks Hooks,
             const std::shared_ptr<EventRing> &Ring) {
  const auto Started =
      std::make_shared<Runtime>(Settings, std::move(Hooks), Ring);
  Started->start();
  return Started;
}

} // namespace cumingauge::adapters

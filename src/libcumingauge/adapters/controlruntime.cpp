#include "adapters/controlruntime.h"
#include "adapters/latestevents.h"
#include "adapters/log.h"
#include "adapters/messageclock.h"
#include "adapters/peerlinks.h"
#include "adapters/storeclient.h"
#include "adapters/tickwatch.h"
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

/// Time between two updates of the statistics for the metrics page.
constexpr model::milliseconds StatsPeriod{500};
/// Time between the announcement that this process leaves and the close of its
/// links, so that the queued messages are sent.
constexpr model::milliseconds LeaveFlushTime{200};

model::TimePoint now() { return std::chrono::steady_clock::now(); }

std::uint64_t wallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<model::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Returns the CPU time that the calling thread has used, in microseconds.
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
        Links_(Io_, linkSettings(Settings), linkHandlers()), TickTimer_(Io_) {
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
    CoreOptions.IsFirstStart_ = Settings_.FirstStart_;
    Core_ = control::makeCore(CoreOptions, std::random_device{}());
    Thread_ = std::thread([this] { run(); });
  }

  bool isFresh(model::TimePoint Now) const override {
    return Now.time_since_epoch().count() <
           DispatchDeadline_.load(std::memory_order_acquire);
  }

  model::ConfigurationKnowledge configuration() const override {
    // Read before the version, which is stored first: what is known of an older
    // version does not count for a newer one.
    const auto KnownUntil = KnownUntil_.load(std::memory_order_acquire);
    const auto ConfirmedAt = ConfirmedAt_.load(std::memory_order_relaxed);
    return {AcceptedVersion_.load(std::memory_order_relaxed),
            model::TimePoint(model::TimePoint::duration(ConfirmedAt)),
            model::TimePoint(model::TimePoint::duration(KnownUntil))};
  }

  std::string configurationSource() const override {
    const std::lock_guard<std::mutex> Lock(SourceMutex_);
    return Source_;
  }

  void recordSighting(control::ServerObservation Sighting) override {
    const std::lock_guard<std::mutex> Lock(SightingsMutex_);
    Sightings_[{Sighting.Server_, Sighting.Vm_}] = std::move(Sighting);
  }

  void requestCredit(std::uint64_t Request, std::string Workspace,
                     model::TimePoint Until) override {
    asio::post(Io_, [this, Request, Name = std::move(Workspace), Until] {
      processInput(control::CreditWanted{Request, Name, Until});
    });
  }

  ControlStats stats() const override {
    const std::lock_guard<std::mutex> Lock(StatsMutex_);
    return Stats_;
  }

  std::uint16_t peerPort() const override { return Links_.port(); }

  void stop() override {
    if (!Thread_.joinable())
      return;
    asio::post(Io_, [this] { announceLeave(); });
    Thread_.join();
  }

private:
  void run() {
    processInput(control::Started{});
    tick();
    Io_.run();
  }

  void tick() {
    processSightings();
    processInput(control::Ticked{});
    Links_.expireHandshakes(now());
    updateStats();
    flushLog();
    TickTimer_.expires_after(Settings_.TickPeriod_);
    TickTimer_.async_wait([this](const boost::system::error_code &Cancelled) {
      if (Cancelled)
        return;
      TickWatch_.recordTick(TickTimer_.expiry(), now());
      tick();
    });
  }

  /// Passes the latest sighting of each server to the control state. Every
  /// answer of a backend server brings a sighting; the control thread processes
  /// only the latest one of each server, once per tick.
  void processSightings() {
    SightingsByServer Latest;
    {
      const std::lock_guard<std::mutex> Lock(SightingsMutex_);
      Latest.swap(Sightings_);
    }
    for (auto &Entry : Latest)
      processInput(control::ServerReportReceived{std::move(Entry.second)});
  }

  void announceLeave() {
    processInput(control::Stopping{});
    TickTimer_.expires_after(LeaveFlushTime);
    TickTimer_.async_wait([this](const boost::system::error_code &) {
      Links_.stop();
      Io_.stop();
    });
  }

  PeerLinkHandlers linkHandlers() {
    PeerLinkHandlers Out;
    Out.OnOpened_ = [this](const OpenedLink &Link) {
      if (Link.Operator_)
        OperatorLinks_.insert(Link.Link_);
      processInput(control::LinkOpened{Link.Link_, Link.Peer_, Link.Operator_,
                                       Link.Outbound_});
    };
    Out.OnMessage_ = [this](control::LinkId Link,
                            control::PeerMessage Message) {
      Clock_.observe(Message);
      if (OperatorLinks_.count(Link) > 0)
        recordAcceptedChanges(Message);
      processInput(control::PeerMessageReceived{Link, std::move(Message)});
    };
    Out.OnClosed_ = [this](control::LinkId Link, model::ResultCode) {
      OperatorLinks_.erase(Link);
      processInput(control::LinkClosed{Link});
    };
    Out.OnFailed_ = [this](const std::string &Host, std::uint16_t Port,
                           model::ResultCode) {
      processInput(control::LinkFailed{Host, Port});
    };
    return Out;
  }

  /// Records the changes that an operator's client sends; the store has
  /// accepted these changes already.
  void recordAcceptedChanges(const control::PeerMessage &Message) {
    if (const auto *Entries = std::get_if<control::Entries>(&Message))
      for (const model::Change &Change : Entries->Changes_)
        Ring_->record(model::EventKind::ChangeAccepted, Change.Id_,
                      Change.Version_, model::ResultCode::Ok, Change.Author_);
  }

  /// Runs the control state on an input and executes the resulting commands.
  /// Inputs that arrive during the execution are queued and processed next.
  void processInput(CoreInput Input) {
    PendingInputs_.push_back(std::move(Input));
    if (IsProcessing_)
      return;
    IsProcessing_ = true;
    while (!PendingInputs_.empty()) {
      const CoreInput Next = std::move(PendingInputs_.front());
      PendingInputs_.pop_front();
      const model::TimePoint Start = now();
      const auto Orders = control::step(*Core_, Next, Start);
      publishKnowledge();
      for (const control::CoreCommand &Order : Orders)
        std::visit([this](const auto &Each) { execute(Each); }, Order);
      const std::type_info &Type = std::visit(
          [](const auto &Each) -> const std::type_info & {
            return typeid(Each);
          },
          Next);
      TickWatch_.recordStep(Type, now() - Start);
    }
    IsProcessing_ = false;
    DispatchDeadline_.store(
        control::dispatchDeadline(control::freshnessFacts(*Core_), Limits_)
            .time_since_epoch()
            .count(),
        std::memory_order_release);
  }

  void publishKnowledge() {
    const auto Known = control::configurationKnowledge(*Core_, Limits_);
    AcceptedVersion_.store(Known.Version_, std::memory_order_relaxed);
    ConfirmedAt_.store(Known.ConfirmedAt_.time_since_epoch().count(),
                       std::memory_order_relaxed);
    KnownUntil_.store(Known.KnownUntil_.time_since_epoch().count(),
                      std::memory_order_release);
    std::string Source = control::configurationSource(*Core_);
    if (Source == Source_) // only this thread changes it
      return;
    const std::lock_guard<std::mutex> Lock(SourceMutex_);
    Source_ = std::move(Source);
  }

  void countStoreCall(const std::string &OperationName,
                      model::ResultCode Code) {
    ++StoreCalls_[{OperationName, std::string(model::nameOf(Code))}];
  }

  void execute(const control::CallStore &Order) {
    const std::string OperationName = nameOf(Order.Request_);
    Store_.Execute_(Order.Request_, [this, OperationName, Call = Order.Call_](
                                        const ports::StoreResponse &Response) {
      countStoreCall(OperationName, Response.Code_);
      processInput(control::StoreResponseReceived{Call, Response});
    });
  }

  void execute(const control::CallDirectory &Order) {
    const std::string OperationName = nameOf(Order.Request_);
    Directory_.Execute_(
        Order.Request_, [this, OperationName, Call = Order.Call_](
                            const ports::DirectoryResponse &Response) {
          countStoreCall(OperationName, Response.Code_);
          processInput(control::DirectoryResponseReceived{Call, Response});
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

  void execute(const control::DecideCredit &Order) {
    if (Hooks_.OnCredit_)
      Hooks_.OnCredit_(Order.Request_, Order.Decision_);
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
    if (const auto *Request =
            std::get_if<control::StatusRequest>(&Order.Request_))
      return answer(Order.Link_, statusReply(*Request));
    if (const auto *Request =
            std::get_if<control::TimelineRequest>(&Order.Request_))
      answer(Order.Link_, latestEvents(*Ring_, Request->SinceMs_));
  }

  void answer(control::LinkId Link, control::PeerMessage Message) {
    Links_.send(Link,
                std::make_shared<control::PeerMessage>(std::move(Message)));
  }

  control::StatusReply
  statusReply(const control::StatusRequest &Request) const {
    control::StatusReply Out{control::describeCore(*Core_, now())};
    if (!Request.WithMembers_)
      Out.Status_.Members_.clear();
    Out.Status_.Ready_ = !Hooks_.IsReady_ || Hooks_.IsReady_();
    if (Hooks_.Activity_)
      Out.Status_.Servers_ = Hooks_.Activity_();
    return Out;
  }

  void updateStats() {
    const model::TimePoint Now = now();
    if (Now < NextStatsUpdate_)
      return;
    NextStatsUpdate_ = Now + StatsPeriod;
    const model::ProcessStatus Status = control::describeCore(*Core_, now());
    const control::DirectoryEra &Era = control::directoryEra(*Core_);
    const PeerLinkStats Links = Links_.stats();
    const std::lock_guard<std::mutex> Lock(StatsMutex_);
    Stats_.StoreCalls_ = StoreCalls_;
    Stats_.StoreEra_ = Era.Number_;
    Stats_.StoreRestores_ = Era.Restores_;
    Stats_.EvacuatedZones_ = Status.EvacuatedZones_.size();
    Stats_.PeerMessagesSent_ = Links.MessagesSent_;
    Stats_.PeerMessagesReceived_ = Links.MessagesReceived_;
    Stats_.PeerBytesSent_ = Links.BytesSent_;
    Stats_.PeerBytesReceived_ = Links.BytesReceived_;
    Stats_.ThreadCpuMicros_ = threadCpuMicros();
    Stats_.Version_ = Status.Version_;
    Stats_.ViewAgeMs_ = Status.ViewAgeMs_;
    Stats_.Links_ = Links.Links_;
    Stats_.FleetSize_ = Status.FleetSize_;
    Stats_.TakenAt_ = now();
  }

  const ControlSettings Settings_;
  const Hooks Hooks_;
  const std::shared_ptr<EventRing> Ring_;
  MessageClock Clock_;
  control::FreshnessLimits Limits_;
  asio::io_context Io_{1};
  ports::Store Store_;
  ports::Directory
      Directory_; ///< Execute_ is empty without a platform directory
  PeerLinks Links_;
  asio::steady_timer TickTimer_;
  TickWatch TickWatch_{"control"};
  std::shared_ptr<control::CoreState> Core_;
  std::thread Thread_;

  using SightingsByServer =
      std::map<std::pair<std::string, std::string>, control::ServerObservation>;
  std::mutex SightingsMutex_;
  /// Latest sighting of each server and VM since the last tick.
  SightingsByServer Sightings_;

  std::set<control::LinkId> OperatorLinks_;
  std::deque<CoreInput> PendingInputs_;
  bool IsProcessing_ = false;
  StoreCallCounts StoreCalls_;
  model::TimePoint NextStatsUpdate_;

  /// Time until which the view may be used, in nanoseconds of the steady clock.
  std::atomic<model::TimePoint::rep> DispatchDeadline_{
      model::TimePoint::min().time_since_epoch().count()};
  // What configuration() returns; times are in nanoseconds of the steady clock.
  std::atomic<std::uint64_t> AcceptedVersion_{0};
  std::atomic<model::TimePoint::rep> ConfirmedAt_{0};
  std::atomic<model::TimePoint::rep> KnownUntil_{0};
  mutable std::mutex SourceMutex_;
  std::string Source_; ///< what configurationSource() returns
  mutable std::mutex StatsMutex_;
  ControlStats Stats_;
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

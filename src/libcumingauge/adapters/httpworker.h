#pragma once

#include "adapters/callermemory.h"
#include "adapters/calllog.h"
#include "adapters/httpcall.h"
#include "adapters/httpcallersession.h"
#include "adapters/httppool.h"
#include "adapters/httpprobe.h"
#include "adapters/httptraffic.h"
#include "adapters/requestadmission.h"
#include "adapters/stopplan.h"
#include "adapters/tickwatch.h"
#include "policy/balancer.h"
#include "policy/callermemory.h"
#include "policy/loadquery.h"
#include "traffic/routetable.h"
#include "traffic/serverlifecycle.h"
#include "traffic/trafficstats.h"
#include "traffic/workspacekeys.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cumingauge::adapters {

/// One traffic thread: its callers' sessions, calls, balancer and connections
/// to backend servers. Runs on that thread only, except for the functions
/// listed under "From any thread".
class HttpWorker {
public:
  /// State that all traffic threads of the process share.
  struct SharedState {
    TrafficSettings Settings_;
    HttpTraffic::Hooks Hooks_;
    std::atomic<unsigned> CallerConnections_{0};
    /// Connections of callers for which there are descriptors.
    unsigned MostCallerConnections_ = std::numeric_limits<unsigned>::max();
    CallerMemory Memory_;
    /// Applies a server's notice on all threads but this one.
    std::function<void(const HttpWorker &From, const std::string &Server,
                       const std::string &Vm, const model::ServerNotice &)>
        ShareNotice_;
  };

  HttpWorker(std::shared_ptr<SharedState> Common, unsigned Index);
  ~HttpWorker();

  // From any thread.

  /// Runs until stop.
  void run();
  void stop();
  void applyView(std::shared_ptr<const model::ControlView> View);
  void applyObservations(std::vector<control::ServerObservation> Observations);
  void applyCredit(std::uint64_t Request,
                   const control::CreditDecision &Decision);
  /// Applies a notice that a server has given to another thread.
  void applyNotice(const std::string &Server, const std::string &Vm,
                   const model::ServerNotice &Notice);
  void setLimits(const HttpLimits &Limits);
  void drain(std::function<void()> Done);
  boost::asio::io_context &io() { return Io_; }
  std::vector<model::ServerActivity> activity() const;
  traffic::TrafficStats stats() const;

  // For callers' sessions.

  /// Starts a session on a new connection of a caller. Above the limit of
  /// connections the caller gets a refusal, or the connection is just closed.
  void addCallerConnection(boost::asio::ip::tcp::socket Socket);
  /// Limits of the settings, with those that the preset in force overrides.
  const HttpLimits &limits() const { return Limits_; }
  const traffic::Dialect &dialect() const {
    return Common_->Settings_.Dialect_;
  }
  /// Whether the control view is recent enough to place new calls.
  bool isFresh() const { return Common_->Hooks_.IsFresh_(now()); }
  model::TimePoint now() const { return std::chrono::steady_clock::now(); }
  /// Whether requests that are read now are still taken.
  bool takesRequests() const { return !Stop_ || now() < Stop_->LastRequestAt_; }
  /// When the last call must have ended; maximum unless the process stops.
  model::TimePoint answerBy() const {
    return Stop_ ? Stop_->AnswerBy_ : model::TimePoint::max();
  }
  /// Finds the route of a request and checks its caller's key.
  RequestAdmission admitRequest(const traffic::RequestHead &Head);
  /// Returns the code with which a request is refused that has not run. What
  /// the newest configuration may allow is not refused as wrong while the one
  /// in force here may be outdated or lacks parts: the caller would not send it
  /// again.
  model::ResultCode refusalCode(model::ResultCode Code) const;
  /// \param Head as far as it was read.
  /// \param Detail what the parser found wrong, or empty.
  void recordRefusedRequest(const traffic::RequestHead &Head,
                            model::ResultCode Code, const std::string &Detail);
  void removeSession(HttpCallerSession &Session);
  CallerMemory &callerMemory() { return Common_->Memory_; }
  /// Evicts connections of callers soon, if they hold too much.
  void checkCallerMemory();
  /// Whether a request whose head has arrived may go on.
  bool hasMemoryForRequest() const {
    return policy::canTakeRequest(MemoryMarks_, Common_->Memory_.held());
  }
  /// Whether a pipelined call may start before its turn.
  bool hasMemoryForPipelining() const {
    return policy::canStartPipelinedCall(MemoryMarks_, Common_->Memory_.held());
  }
  /// Returns a buffer whose contents last until the next read of a connection.
  std::vector<char> &readBuffer() { return ReadBuffer_; }
  /// Counts the end of a caller's connection, and logs it when no answer has
  /// announced it.
  /// \param Record without the values of this thread, which are added.
  void recordConnectionEnd(ConnectionEndRecord Record);
  /// Records a connection that is closed before a session has started.
  void recordUnservedConnection(const boost::asio::ip::tcp::socket &Socket);
  /// Records the first bytes of a caller that arrived after its connection was
  /// closed.
  void recordDiscardedBytes(const DiscardRecord &Record);
  /// Records a call that is not answered before the process ends.
  void recordAbandonedCall(const HttpCall &Call);

  // For calls.

  policy::CallId nextCallId() { return ++LastCall_; }
  std::string makeCallId(policy::CallId Call) const {
    return CallIdPrefix_ + std::to_string(Call);
  }
  /// Places a call, or lets it wait while the control view is stale.
  void admit(const std::shared_ptr<HttpCall> &Call);
  /// Removes a call that has ended from all queues.
  void removeFromQueue(HttpCall &Call);
  HttpPool &pool(policy::ServerHandle Server);
  void recordCallStart();
  /// Returns the state of a server that has just been chosen, for the call log.
  model::AttemptTrace traceOf(policy::ServerHandle Server) const;
  void recordCallEnd(const HttpCall &Call, model::ResultCode Code);
  void recordAttemptStart(policy::ServerHandle Server);
  void recordAttemptEnd(const policy::CallFacts &Facts,
                        policy::ServerHandle Server, policy::AttemptEnd End,
                        model::TimePoint Dispatched);
  /// Returns whether a call may be tried again. If so, takes a token from the
  /// retry budget, where one is needed, and counts and records the retry.
  bool tryRetry(const HttpCall &Call, policy::AttemptEnd End);
  /// When a hedge should be considered, if at all.
  std::optional<model::TimePoint> hedgeTime(const policy::CallFacts &Facts,
                                            model::TimePoint Dispatched);
  /// Chooses a server for a hedge and spends the hedge budget; NoServer when no
  /// hedge is sent.
  policy::ServerHandle hedge(const HttpCall &Call);
  /// Applies a load report that came with an answer.
  void recordReport(policy::ServerHandle Server, const std::string &Text);
  /// Applies what a server has announced in the answer to a call.
  void recordNotice(policy::ServerHandle Server,
                    const model::ServerNotice &Notice, const std::string &Call);
  /// Records that an answer of a server was refused or broke off; does nothing
  /// without a fault.
  /// \param Status status that was received; 0 without one.
  /// \param Call empty when it was the answer to a probe.
  void recordAnswerFault(policy::ServerHandle Server, model::AnswerFault Fault,
                         unsigned Status, const std::string &Call);
  /// Applies the newest published view and returns whether a call may go to a
  /// server by it: the server takes calls of that service, and the call is
  /// admitted as before. To be asked when the first bytes are about to leave.
  bool maySend(const HttpCall &Call, policy::ServerHandle Server);
  /// Name that a request carries to identify the server it is meant for.
  const std::string &serverName(policy::ServerHandle Server) const;
  /// Reports once that a server is draining, for the other processes.
  void reportDraining(policy::ServerHandle Server);

private:
  /// This thread's state of one backend server.
  struct Server {
    std::shared_ptr<HttpPool> Pool_;
    traffic::ServerLifecycle Life_;
    bool DrainingReported_ = false; ///< other processes have been informed
  };
  /// A call that waits until the control view is fresh again.
  struct FreshViewWait {
    std::weak_ptr<HttpCall> Call_;
    policy::CallId Id_ = 0;
    model::TimePoint Until_;
  };

  /// A call that waits for credit.
  struct CreditWait {
    std::weak_ptr<HttpCall> Call_;
    std::string Workspace_;
    model::TimePoint Until_;
  };

  /// A call that waits for load reports of servers before it is placed.
  struct LoadQuery {
    std::weak_ptr<HttpCall> Call_;
    unsigned Outstanding_ = 0;
    policy::LoadQueryRound Round_ = policy::LoadQueryRound::OwnZone;
    std::shared_ptr<boost::asio::steady_timer> Timer_;
  };

  Server &server(policy::ServerHandle Handle);
  bool queryLoad(const std::shared_ptr<HttpCall> &Call,
                 policy::LoadQueryRound Round);
  void onLoadQueryAnswered(policy::CallId Call);
  void endLoadQuery(policy::CallId Call);
  void sendProbe(policy::ServerHandle Server, model::milliseconds Timeout,
                 std::function<void()> Done);
  /// Position at which the rotation of shared routes begins, 0 to 1; derived
  /// from the seed.
  double rotationStart() const;
  void applyLimits(const model::CallerLimits &Callers);
  /// Applies the newest published view unless that has been done.
  void takeNewestView();
  void handleView(const std::shared_ptr<const model::ControlView> &View);
  void updateServer(policy::ServerHandle Handle, Server &Entry);
  bool isListed(policy::ServerHandle Handle) const;
  void applyServerEvent(policy::ServerHandle Handle, Server &Entry,
                        const traffic::ServerEvent &Event);
  /// Dispatches, queues or refuses a call as the balancer decides.
  void choose(const std::shared_ptr<HttpCall> &Call);
  /// Requests credit for a call, unless it is refused anyway.
  void requestCredit(const std::shared_ptr<HttpCall> &Call);
  void handleCredit(std::uint64_t Request,
                    const control::CreditDecision &Decision);
  CreditWait takeCreditWait(std::uint64_t Request);
  /// Refuses the calls that have waited for credit for too long.
  void checkCreditWaits();
  /// Ends the wait of a call that ends without an answer to its request.
  void endCreditWait(HttpCall &Call);
  /// Returns whether the present configuration handles a call in the same way
  /// as the one that admitted it.
  bool isAdmittedAsBefore(const HttpCall &Call) const;
  /// Admits a call again if the configuration handles it in another way now.
  /// \returns false when it was refused.
  bool renewAdmission(HttpCall &Call);
  /// Places a call that has waited for a fresh view, unless it is not admitted
  /// any more.
  void placeAfterWait(const std::shared_ptr<HttpCall> &Call);
  /// Determines the workspace of a request from the keys in force.
  traffic::CallerIdentity identify(const traffic::RequestHead &Head,
                                   const model::Route &Route) const;
  /// Whether this thread's configuration is known to be whole and the newest.
  bool isConfigurationKnown() const;
  /// Continues the queued calls that can be dispatched or must be refused.
  void releaseWaiting();
  void scheduleRelease();
  bool waitsForFirstView() const;
  void startHeldSessions();
  void checkFreshViewWaits();
  void tick();
  void maintainPools();
  void sendProbes();
  std::string probePath(policy::ServerHandle Server) const;
  void onProbeEnded(policy::ServerHandle Server,
                    const HttpProbe::Result &Result);
  /// Returns whether the notice has closed the server.
  bool closeServer(policy::ServerHandle Server,
                   const model::ServerNotice &Notice, const std::string &Cause);
  /// Opens the servers whose pauses have ended.
  void endPauses();
  /// Updates what activity() and stats() return.
  void publishStats();
  void reportObservation(policy::ServerHandle Server,
                         const model::LoadReport &Report);
  /// Bounds the events of one kind of cause.
  struct EventWindow {
    model::TimePoint Start_;
    unsigned Events_ = 0;
    unsigned Dropped_ = 0; ///< since the last reported event
  };

  /// Reports an event of a call, unless too many came within the current
  /// window.
  void recordEvent(model::EventKind Kind, const std::string &Subject,
                   model::ResultCode Reason, const std::string &Detail);
  /// The same for a server that has announced something. Many events of calls
  /// do not displace these.
  void recordNoticeEvent(model::EventKind Kind,
                         const model::BackendServer &Server,
                         const std::string &Detail);
  void recordInWindow(EventWindow &Window, model::EventKind Kind,
                      const std::string &Subject, model::ResultCode Reason,
                      const std::string &Detail);
  unsigned maxCallerConnections() const;
  void relieveCallerMemory();
  bool displaceCallerConnection();
  void endStalledUploads();
  void endSession(HttpCallerSession &Session, model::ResultCode Code);
  void recordEviction(const policy::CallerHolding &Holding,
                      model::ResultCode Code);
  /// Closes idle connections and refuses requests that are read only in part.
  void refuseFurtherRequests();
  void finishDrainIfDone();
  /// Returns the time from the start of the stop to the arrival of a call.
  std::optional<model::milliseconds>
  timeSinceStop(const policy::CallFacts &Facts) const;
  CallRecord recordOf(const HttpCall &Call, model::ResultCode Code) const;

  const std::shared_ptr<SharedState> Common_;
  const unsigned Index_;
  const std::string CallIdPrefix_;
  boost::asio::io_context Io_{1};
  boost::asio::steady_timer TickTimer_;
  TickWatch TickWatch_;
  std::shared_ptr<policy::BalancerState> Balancer_;
  std::shared_ptr<const model::ControlView> View_;
  std::mutex NewestViewMutex_; ///< guards NewestView_
  /// Published and not yet applied; null: none.
  std::shared_ptr<const model::ControlView> NewestView_;
  HttpLimits ConfiguredLimits_; ///< from the settings
  model::TimePoint StartedAt_;
  /// ConfiguredLimits_ with the overrides of the preset in force.
  HttpLimits Limits_;
  traffic::RouteTable Routes_;
  traffic::WorkspaceKeys Keys_;
  bool KeysRequired_ = false; ///< by the preset in force
  model::milliseconds ConnectTimeout_{200};
  model::milliseconds ProbeTimeout_{500};
  model::milliseconds LoadQueryTimeout_{4};
  std::unordered_map<policy::ServerHandle, Server> Servers_;
  std::unordered_map<policy::CallId, std::weak_ptr<HttpCall>> QueuedCalls_;
  /// Callers' connections of which nothing is read before the first view.
  std::vector<std::shared_ptr<HttpCallerSession>> HeldSessions_;
  std::vector<FreshViewWait> FreshViewWaits_;
  std::unordered_map<std::uint64_t, CreditWait> CreditWaits_; ///< by request
  std::map<std::string, unsigned> CreditWaiters_;             ///< by workspace
  std::uint64_t LastCreditRequest_ = 0;
  std::unordered_map<policy::CallId, LoadQuery> LoadQueries_;
  std::unordered_set<HttpCallerSession *> Sessions_;
  policy::CallId LastCall_ = 0;
  CallLog CallLog_;
  bool ReleaseScheduled_ = false;
  bool RefusalLogged_ = false; ///< that no further requests are taken
  model::TimePoint NextMaintenance_;
  model::TimePoint NextPublish_;
  model::TimePoint NextUploadCheck_;
  policy::CallerMemoryMarks MemoryMarks_;
  std::vector<char> ReadBuffer_;
  bool ReliefScheduled_ = false;
  EventWindow EvictionLines_;
  EventWindow CallEvents_;
  EventWindow NoticeEvents_;
  std::optional<StopPlan> Stop_; ///< set when the process stops
  std::function<void()> DrainDone_;
  mutable std::mutex PublishedMutex_; ///< guards Activity_ and Stats_
  std::vector<model::ServerActivity> Activity_;
  traffic::TrafficStats Stats_;
};

} // namespace cumingauge::adapters

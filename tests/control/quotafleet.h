#pragma once

#include "control/core.h"
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <queue>
#include <set>

namespace cumingauge::control::fakes {

/// A call that was started.
struct CallStart {
  model::TimePoint At_;
  unsigned Workspace_ = 0;
};

/// A decision on a call.
struct CallDecision {
  unsigned Workspace_ = 0;
  CreditAnswer Answer_ = CreditAnswer::Unknown;
  model::Duration Waited_{0};
};

/// Processes in virtual time with a directory that has conditional writes, and
/// callers of workspaces with quotas. Messages take time; each process has a
/// clock of its own that goes slightly wrong.
class QuotaFleet {
public:
  static constexpr unsigned Workspaces = 3;
  /// Largest relative error of the rate of a clock.
  static constexpr double ClockError = 0.025;

  enum class Quotas { With, Without };

  /// \param Era of the store; 0: it has none and is never restored.
  QuotaFleet(unsigned Processes, std::uint64_t Seed,
             Quotas Limits = Quotas::With, std::uint64_t Era = 0);

  unsigned size() const { return static_cast<unsigned>(Processes_.size()); }
  model::TimePoint now() const { return Now_; }
  std::uint32_t draw(std::uint32_t Bound) { return Random_(Bound); }
  void run(model::milliseconds Time);

  /// Runs a function after a time.
  void after(model::Duration Time, std::function<void()> Action);

  // Faults.
  void restart(unsigned Process, model::milliseconds Away);
  void pause(unsigned Process, model::milliseconds Time);
  void cutFromPeers(unsigned Process, bool IsCut);
  void cutFromStore(unsigned Process, bool IsCut);
  enum class StoreFault { None, Silent, Unavailable, LosesResponses };
  void setStore(StoreFault Fault) { Store_ = Fault; }
  /// Delays the responses of the store to a process by up to a time.
  void slowStore(unsigned Process, model::milliseconds Time);
  /// Restores the store from a copy that was taken a time ago. Its revisions
  /// are given out again, and a new era begins.
  void restoreStore(model::milliseconds Age);
  /// Holds the answers of issuers up until then.
  void holdReplies(model::milliseconds Time) { HeldUntil_ = Now_ + Time; }
  /// Makes messages about credit be lost, late or doubled, in percent.
  void setCreditFaults(unsigned Percent) { CreditFaults_ = Percent; }
  /// Makes each process take a time for each message about credit and each
  /// request of its own, one after the other.
  void setCreditCost(model::Duration Time) { CreditCost_ = Time; }
  /// Accepts a configuration in which all quotas are multiplied.
  void configure(double Factor);

  // Callers.
  /// Makes callers that are refused return a number of times when they are
  /// told to.
  void returnWhenTold(unsigned Times) { Returns_ = Times; }
  /// Requests credit for a call at a process that runs.
  void call(unsigned Workspace) { call(Workspace, Returns_); }
  static model::CallQuota quotaOf(unsigned Workspace, double Factor = 1);

  // Observations.
  const std::vector<CallStart> &starts() const { return Starts_; }
  const std::vector<CallDecision> &decisions() const { return Decisions_; }
  unsigned refused() const { return Refused_; }
  unsigned unknown() const { return Unknown_; }
  unsigned granted() const { return static_cast<unsigned>(Starts_.size()); }
  /// Requests that were not decided, of processes that run.
  std::size_t undecided() const { return Waiting_.size(); }
  /// Decisions on requests that were decided before or never made.
  unsigned excessDecisions() const { return ExcessDecisions_; }
  /// Largest factor that a process had in force at a time.
  const std::map<model::TimePoint, double> &largestFactors() const {
    return LargestFactors_;
  }
  /// Processes that take themselves for the issuer of a part.
  unsigned issuers(unsigned Part) const;
  /// Calls of the directory about claims.
  unsigned claimCalls() const { return ClaimCalls_; }
  /// Messages about credit.
  unsigned messages() const { return Messages_; }
  std::size_t links() const { return Links_.size(); }
  /// Links over which a process has subscribed to the directory.
  std::size_t subscriptions() const { return Subscribed_.size(); }

private:
  struct Process {
    std::shared_ptr<CoreState> Core_; ///< null: it does not run
    std::uint64_t Incarnation_ = 0;
    double ClockRate_ = 1;
    model::TimePoint PausedUntil_;
    model::TimePoint BusyUntil_; ///< with earlier inputs about credit
    bool IsCutFromPeers_ = false;
    bool IsCutFromStore_ = false;
    model::milliseconds StoreDelay_{0};
    double Factor_ = 0; ///< of the configuration in force
  };
  struct WaitingCall {
    unsigned Process_;
    unsigned Workspace_;
    unsigned Returns_;
    model::TimePoint Since_;
  };
  /// What the store loses when it is restored.
  struct Content {
    std::uint64_t Revision_ = 10;
    std::map<unsigned, ports::ListedClaim> Claims_;
  };
  struct Event {
    model::TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Action_;
    bool operator<(const Event &Other) const {
      return std::tie(At_, Order_) > std::tie(Other.At_, Other.Order_);
    }
  };
  struct OpenedLink {
    unsigned From_ = 0;
    unsigned To_ = 0;
    model::TimePoint LastArrival_;
  };

  void call(unsigned Workspace, unsigned Returns);
  static std::string nameOf(unsigned Workspace);
  model::TimePoint ownTime(const Process &Of) const;
  model::Member memberOf(unsigned Number) const;
  void start(unsigned Number, bool IsFirst);
  void tick(unsigned Number, std::uint64_t Incarnation);
  /// Feeds an input to an incarnation of a process, after its pause if it has
  /// one.
  void feed(unsigned Number, std::uint64_t Incarnation, const CoreInput &Input);
  /// Feeds an input after those about credit that the process has not handled.
  void feedInTurn(unsigned Number, std::uint64_t Incarnation,
                  const CoreInput &Input);
  template <class T> void execute(unsigned, const T &) {}
  void execute(unsigned Number, const PublishView &Command);
  void execute(unsigned Number, const OpenLink &Command);
  void execute(unsigned Number, const SendPeer &Command);
  void execute(unsigned Number, const CloseLink &Command);
  void execute(unsigned Number, const CallDirectory &Command);
  void execute(unsigned Number, const DecideCredit &Command);
  void arriveAtStore(unsigned Number, std::uint64_t Incarnation,
                     const CallDirectory &Command);
  ports::DirectoryResponse answer(const ports::DirectoryRequest &Asked);
  bool hasNews(const ports::DirectoryRequest &Asked) const;
  void closeLinksOf(unsigned Number);
  bool isCut(const OpenedLink &Link) const;
  void recordFactors();
  model::Duration delay();

  const Quotas Limits_;
  pcg32 Random_;
  model::TimePoint Now_{model::seconds(1000)};
  std::uint64_t LastOrder_ = 0;
  std::priority_queue<Event> Events_;
  std::vector<Process> Processes_;
  std::map<LinkId, OpenedLink> Links_;
  LinkId LastLink_ = 0;

  StoreFault Store_ = StoreFault::None;
  unsigned CreditFaults_ = 0;
  model::Duration CreditCost_{0};
  Content Stored_;
  std::map<model::TimePoint, Content> Copies_; ///< after each claim
  std::uint64_t Era_ = 0;
  model::TimePoint HeldUntil_;
  std::map<std::string, model::Member> Members_;
  std::uint64_t ConfigurationRevision_ = 10;
  std::vector<double> Factors_; ///< of each version, from 1

  std::uint64_t LastRequest_ = 0;
  unsigned Returns_ = 0;
  std::map<std::uint64_t, WaitingCall> Waiting_;
  std::vector<CallStart> Starts_;
  std::vector<CallDecision> Decisions_;
  unsigned Refused_ = 0;
  unsigned Unknown_ = 0;
  unsigned ExcessDecisions_ = 0;
  unsigned ClaimCalls_ = 0;
  unsigned Messages_ = 0;
  std::set<LinkId> Subscribed_;
  std::map<model::TimePoint, double> LargestFactors_;
};

} // namespace cumingauge::control::fakes

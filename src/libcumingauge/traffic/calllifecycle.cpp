// The transition table has more rows than Boost.MPL allows by default.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "traffic/calllifecycle.h"
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace cumingauge::traffic {

using model::ResultCode;
using policy::AttemptEnd;
using policy::ServerHandle;

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/// State of a call beside the state of the machine: its attempts and the
/// actions that the current event has given.
struct CallData {
  CallRules Rules_;
  std::vector<AttemptState> States_;
  std::vector<ServerHandle> Servers_;
  std::vector<CallAction> Actions_;

  bool isKnown(AttemptNumber Attempt) const {
    return Attempt >= 1 && Attempt <= States_.size();
  }
  bool isIn(AttemptNumber Attempt, AttemptState State) const {
    return isKnown(Attempt) && States_[Attempt - 1] == State;
  }
  bool isLiveAttempt(AttemptNumber Attempt) const {
    return isKnown(Attempt) && isLive(States_[Attempt - 1]);
  }
  unsigned liveAttempts() const {
    unsigned Count = 0;
    for (const AttemptState State : States_)
      Count += isLive(State) ? 1 : 0;
    return Count;
  }
  bool isLastLive(AttemptNumber Attempt) const {
    return isLiveAttempt(Attempt) && liveAttempts() == 1;
  }

  void open(ServerHandle Server) {
    States_.push_back(AttemptState::Connecting);
    Servers_.push_back(Server);
    Actions_.push_back(
        OpenAttempt{static_cast<AttemptNumber>(States_.size()), Server});
  }

  void end(AttemptNumber Attempt, AttemptState State, AttemptEnd End) {
    States_[Attempt - 1] = State;
    Actions_.push_back(ReportAttempt{Attempt, Servers_[Attempt - 1], End});
  }

  void drop(AttemptNumber Attempt, AttemptEnd End) {
    const bool Unsent = States_[Attempt - 1] == AttemptState::Connecting;
    Actions_.push_back(DropAttempt{Attempt});
    end(Attempt, Unsent ? AttemptState::NotSent : AttemptState::Abandoned, End);
  }

  void dropAllBut(AttemptNumber Kept, AttemptEnd End) {
    for (AttemptNumber Attempt = 1; Attempt <= States_.size(); ++Attempt)
      if (Attempt != Kept && isLive(States_[Attempt - 1]))
        drop(Attempt, End);
  }

  void fail(ResultCode NotRunReason) {
    const ResultCode Code = failureCode(States_, NotRunReason);
    Actions_.push_back(AnswerCaller{Code});
    Actions_.push_back(EndCall{Code});
  }
};

constexpr AttemptNumber NoAttempt = 0;

AttemptEnd endOf(const AttemptFailed &Event) {
  switch (Event.Fate_) {
  case AttemptState::NotSent:
    return AttemptEnd::ConnectFailed;
  case AttemptState::Withdrawn:
    return AttemptEnd::Withdrawn;
  case AttemptState::DeclaredNotRun:
    return Event.Draining_ ? AttemptEnd::Draining : AttemptEnd::Shed;
  case AttemptState::ServerError:
    return AttemptEnd::AnsweredError;
  default:
    return AttemptEnd::Broken;
  }
}

ResultCode notRunCode(AttemptState State) {
  return State == AttemptState::DeclaredNotRun
             ? ResultCode::NotRunShed
             : ResultCode::NotRunConnectFailed;
}

struct CallDef : msm::front::state_machine_def<CallDef> {
  using no_exception_thrown = int;
  using no_message_queue = int;

  // States.
  struct Arriving : msm::front::state<> {};
  struct Deciding : msm::front::state<> {};    ///< waiting for the balancer
  struct Running : msm::front::state<> {};     ///< at least one live attempt
  struct AskingRetry : msm::front::state<> {}; ///< waiting for RetryDecided
  struct Forwarding : msm::front::state<> {};  ///< passing an answer on
  struct Ended : msm::front::state<> {};
  using initial_state = Arriving;

  CallData Data_;

  // Guards on the attempt that an event names, or on the decision it carries.
  struct IsConnecting {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &Fsm, S &, T &) const {
      return Fsm.Data_.isIn(Event.Attempt_, AttemptState::Connecting);
    }
  };
  struct IsSent {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &Fsm, S &, T &) const {
      return Fsm.Data_.isIn(Event.Attempt_, AttemptState::Sent);
    }
  };
  struct IsForwarded {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &Fsm, S &, T &) const {
      return Fsm.Data_.isIn(Event.Attempt_, AttemptState::Forwarding);
    }
  };
  struct HasOtherLive {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &Fsm, S &, T &) const {
      return Fsm.Data_.isLiveAttempt(Event.Attempt_) &&
             Fsm.Data_.liveAttempts() > 1;
    }
  };
  struct CanRetry {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &Fsm, S &, T &) const {
      return Fsm.Data_.isLastLive(Event.Attempt_) &&
             canRetry(Fsm.Data_.Rules_, Event.Fate_);
    }
  };
  struct CannotRetry {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &Fsm, S &, T &) const {
      return Fsm.Data_.isLastLive(Event.Attempt_) &&
             !canRetry(Fsm.Data_.Rules_, Event.Fate_);
    }
  };
  struct IsAllowed {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &, S &, T &) const {
      return Event.Allowed_;
    }
  };
  struct IsDenied {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &, S &, T &) const {
      return !Event.Allowed_;
    }
  };
  struct CanHedge {
    template <class E, class F, class S, class T>
    bool operator()(const E &, F &Fsm, S &, T &) const {
      const CallRules &Rules = Fsm.Data_.Rules_;
      return Rules.Idempotent_ && Rules.Replayable_ &&
             Fsm.Data_.liveAttempts() == 1;
    }
  };
  struct IsHedge {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &Fsm, S &Source, T &Target) const {
      return Event.Server_ != policy::NoServer &&
             CanHedge()(Event, Fsm, Source, Target);
    }
  };

  // Actions.
  struct AskForServer {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Data_.Actions_.push_back(AskBalancer{});
    }
  };
  struct Open {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.open(Event.Server_);
    }
  };
  struct Refuse {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.fail(Event.Reason_);
    }
  };
  struct Send {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.States_[Event.Attempt_ - 1] = AttemptState::Sent;
      Fsm.Data_.Actions_.push_back(SendRequest{Event.Attempt_});
    }
  };
  struct Forward {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.dropAllBut(Event.Attempt_, AttemptEnd::Cancelled);
      Fsm.Data_.States_[Event.Attempt_ - 1] = AttemptState::Forwarding;
      Fsm.Data_.Actions_.push_back(ForwardAnswer{Event.Attempt_});
    }
  };
  struct RecordFailure {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.end(Event.Attempt_, Event.Fate_, endOf(Event));
    }
  };
  struct AskForRetry {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.end(Event.Attempt_, Event.Fate_, endOf(Event));
      Fsm.Data_.Actions_.push_back(AskRetry{endOf(Event)});
    }
  };
  struct FailCall {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.end(Event.Attempt_, Event.Fate_, endOf(Event));
      Fsm.Data_.fail(notRunCode(Event.Fate_));
    }
  };
  struct DenyRetry {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Data_.fail(ResultCode::NotRunRetryBudget);
    }
  };
  struct AskForHedge {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Data_.Actions_.push_back(AskHedge{});
    }
  };
  struct FailAtDeadline {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Data_.Actions_.push_back(RemoveFromQueue{});
      Fsm.Data_.dropAllBut(NoAttempt, AttemptEnd::TimedOut);
      Fsm.Data_.fail(ResultCode::NotRunDeadline);
    }
  };
  struct FailRequest {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.Actions_.push_back(RemoveFromQueue{});
      Fsm.Data_.dropAllBut(NoAttempt, AttemptEnd::Cancelled);
      Fsm.Data_.fail(Event.Reason_);
    }
  };
  struct CancelCall {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Data_.Actions_.push_back(RemoveFromQueue{});
      Fsm.Data_.dropAllBut(NoAttempt, AttemptEnd::Cancelled);
      Fsm.Data_.Actions_.push_back(EndCall{ResultCode::CallerGone});
    }
  };
  struct Finish {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.end(Event.Attempt_, AttemptState::Answered,
                    Event.ServerError_ ? AttemptEnd::AnsweredError
                                       : AttemptEnd::Answered);
      Fsm.Data_.Actions_.push_back(EndCall{ResultCode::Ok});
    }
  };
  struct AbortOnFailure {
    template <class E, class F, class S, class T>
    void operator()(const E &Event, F &Fsm, S &, T &) const {
      Fsm.Data_.end(Event.Attempt_, Event.Fate_, AttemptEnd::Broken);
      Fsm.Data_.Actions_.push_back(AbortAnswer{});
      Fsm.Data_.Actions_.push_back(EndCall{ResultCode::UnknownAnswerBroken});
    }
  };
  struct AbortGivenUp {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Data_.dropAllBut(NoAttempt, AttemptEnd::Cancelled);
      Fsm.Data_.Actions_.push_back(AbortAnswer{});
      Fsm.Data_.Actions_.push_back(EndCall{ResultCode::UnknownAnswerBroken});
    }
  };
  struct AbortAtDeadline {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Data_.dropAllBut(NoAttempt, AttemptEnd::TimedOut);
      Fsm.Data_.Actions_.push_back(AbortAnswer{});
      Fsm.Data_.Actions_.push_back(EndCall{ResultCode::UnknownAnswerBroken});
    }
  };

  // Boost.MSM requires this name. The columns are aligned by hand.
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      //  State        Event             Next         Action           Guard
      Row<Arriving,    CallArrived,      Deciding,    AskForServer,    none>,
      Row<Arriving,    CallerLeft,       Ended,       CancelCall,      none>,
      Row<Deciding,    ServerChosen,     Running,     Open,            none>,
      Row<Deciding,    AdmissionRefused, Ended,       Refuse,          none>,
      Row<Deciding,    DeadlinePassed,   Ended,       FailAtDeadline,  none>,
      Row<Deciding,    RequestGivenUp,   Ended,       FailRequest,     none>,
      Row<Deciding,    CallerLeft,       Ended,       CancelCall,      none>,
      Row<Running,     ConnectionReady,  none,        Send,            IsConnecting>,
      Row<Running,     AnswerStarted,    Forwarding,  Forward,         IsSent>,
      Row<Running,     AttemptFailed,    none,        RecordFailure,   HasOtherLive>,
      Row<Running,     AttemptFailed,    AskingRetry, AskForRetry,     CanRetry>,
      Row<Running,     AttemptFailed,    Ended,       FailCall,        CannotRetry>,
      Row<Running,     HedgeDue,         none,        AskForHedge,     CanHedge>,
      Row<Running,     HedgeDecided,     none,        Open,            IsHedge>,
      Row<Running,     DeadlinePassed,   Ended,       FailAtDeadline,  none>,
      Row<Running,     RequestGivenUp,   Ended,       FailRequest,     none>,
      Row<Running,     CallerLeft,       Ended,       CancelCall,      none>,
      Row<AskingRetry, RetryDecided,     Deciding,    AskForServer,    IsAllowed>,
      Row<AskingRetry, RetryDecided,     Ended,       DenyRetry,       IsDenied>,
      Row<AskingRetry, DeadlinePassed,   Ended,       FailAtDeadline,  none>,
      Row<AskingRetry, CallerLeft,       Ended,       CancelCall,      none>,
      Row<Forwarding,  AnswerEnded,      Ended,       Finish,          IsForwarded>,
      Row<Forwarding,  AttemptFailed,    Ended,       AbortOnFailure,  IsForwarded>,
      Row<Forwarding,  DeadlinePassed,   Ended,       AbortAtDeadline, none>,
      Row<Forwarding,  RequestGivenUp,   Ended,       AbortGivenUp,    none>,
      Row<Forwarding,  CallerLeft,       Ended,       CancelCall,      none>> {};
  // clang-format on

  template <class F, class E> void no_transition(const E &, F &, int) {}
};

} // namespace

struct CallLifecycle::Machine {
  msm::back::state_machine<CallDef> Fsm_;
  bool Ended_ = false;
};

CallLifecycle::CallLifecycle(CallRules Rules)
    : Machine_(std::make_unique<Machine>()) {
  Machine_->Fsm_.Data_.Rules_ = Rules;
  Machine_->Fsm_.start();
}

CallLifecycle::CallLifecycle(CallLifecycle &&) noexcept = default;
CallLifecycle::~CallLifecycle() = default;

std::vector<CallAction> CallLifecycle::process(const CallEvent &Event) {
  std::vector<CallAction> &Actions = Machine_->Fsm_.Data_.Actions_;
  Actions.clear();
  std::visit([this](const auto &E) { Machine_->Fsm_.process_event(E); }, Event);
  if (!Actions.empty() && std::holds_alternative<EndCall>(Actions.back()))
    Machine_->Ended_ = true;
  return Actions;
}

bool CallLifecycle::isEnded() const { return Machine_->Ended_; }

const std::vector<AttemptState> &CallLifecycle::attemptStates() const {
  return Machine_->Fsm_.Data_.States_;
}

} // namespace cumingauge::traffic

#include "traffic/connectionlifecycle.h"
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace cumingauge::traffic {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/// Transition action that appends the listed connection actions in this order.
template <ConnectionAction... Actions> struct Perform {
  template <class E, class F, class S, class T>
  void operator()(const E &, F &Fsm, S &, T &) const {
    (Fsm.Actions_.push_back(Actions), ...);
  }
};

struct ConnectionDef : msm::front::state_machine_def<ConnectionDef> {
  using no_exception_thrown = int;
  using no_message_queue = int;

  struct Connecting : msm::front::state<> {};
  struct Idle : msm::front::state<> {};
  struct Sending : msm::front::state<> {};  ///< request not written whole
  struct Awaiting : msm::front::state<> {}; ///< written; answer not complete
  struct Closed : msm::front::state<> {};
  using initial_state = Connecting;

  std::vector<ConnectionAction> Actions_;

  /// Guard: the connection can carry another call.
  struct IsReusable {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &, S &, T &) const {
      return Event.KeepAlive_ && !Event.BytesFollow_;
    }
  };
  struct IsNotReusable {
    template <class E, class F, class S, class T>
    bool operator()(const E &Event, F &, S &, T &) const {
      return !Event.KeepAlive_ || Event.BytesFollow_;
    }
  };

  using AddToPool = Perform<ConnectionAction::AddToPool>;
  using ParseAnswer = Perform<ConnectionAction::ParseAnswer>;
  using Close = Perform<ConnectionAction::Close>;
  using Fail = Perform<ConnectionAction::ReportFailed, ConnectionAction::Close>;
  using EndAndPool =
      Perform<ConnectionAction::ReportEnd, ConnectionAction::AddToPool>;
  using EndAndClose =
      Perform<ConnectionAction::ReportEnd, ConnectionAction::Close>;

  // Boost.MSM requires this name. The columns are aligned by hand.
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      //  State       Event             Next      Action       Guard
      Row<Connecting, ConnectSucceeded, Idle,     AddToPool,   none>,
      Row<Connecting, ConnectFailed,    Closed,   Fail,        none>,
      Row<Connecting, Retired,          Closed,   Fail,        none>,
      Row<Idle,       Leased,           Sending,  none,        none>,
      Row<Idle,       BytesArrived,     Closed,   Close,       none>,
      Row<Idle,       ConnectionBroken, Closed,   Close,       none>,
      Row<Idle,       Retired,          Closed,   Close,       none>,
      Row<Sending,    RequestSent,      Awaiting, none,        none>,
      Row<Sending,    BytesArrived,     none,     ParseAnswer, none>,
      Row<Sending,    AnswerComplete,   Closed,   EndAndClose, none>,
      Row<Sending,    ConnectionBroken, Closed,   Fail,        none>,
      Row<Sending,    Abandoned,        Closed,   Close,       none>,
      Row<Awaiting,   BytesArrived,     none,     ParseAnswer, none>,
      Row<Awaiting,   AnswerComplete,   Idle,     EndAndPool,  IsReusable>,
      Row<Awaiting,   AnswerComplete,   Closed,   EndAndClose, IsNotReusable>,
      Row<Awaiting,   ConnectionBroken, Closed,   Fail,        none>,
      Row<Awaiting,   Abandoned,        Closed,   Close,       none>> {};
  // clang-format on

  template <class F, class E> void no_transition(const E &, F &, int) {}
};

using ConnectionFsm = msm::back::state_machine<ConnectionDef>;

} // namespace

struct ConnectionLifecycle::Machine {
  ConnectionFsm Fsm_;

  template <class State> bool isIn() const {
    using States = ConnectionFsm::stt;
    return Fsm_.current_state()[0] ==
           msm::back::get_state_id<States, State>::value;
  }
};

ConnectionLifecycle::ConnectionLifecycle()
    : Machine_(std::make_unique<Machine>()) {
  Machine_->Fsm_.start();
}

ConnectionLifecycle::~ConnectionLifecycle() = default;

std::vector<ConnectionAction>
ConnectionLifecycle::process(const ConnectionEvent &Event) {
  std::vector<ConnectionAction> &Actions = Machine_->Fsm_.Actions_;
  Actions.clear();
  std::visit([this](const auto &E) { Machine_->Fsm_.process_event(E); }, Event);
  return Actions;
}

bool ConnectionLifecycle::isIdle() const {
  return Machine_->isIn<ConnectionDef::Idle>();
}

bool ConnectionLifecycle::isClosed() const {
  return Machine_->isIn<ConnectionDef::Closed>();
}

} // namespace cumingauge::traffic

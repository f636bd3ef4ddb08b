#include "traffic/serverlifecycle.h"
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace cumingauge::traffic {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct ServerDef : msm::front::state_machine_def<ServerDef> {
  using no_exception_thrown = int;
  using no_message_queue = int;

  struct Serving : msm::front::state<> {};
  struct Draining : msm::front::state<> {};
  struct Drained : msm::front::state<> {};
  using initial_state = Serving;

  unsigned Calls_ = 0;
  std::vector<ServerAction> Actions_;

  struct HasCalls {
    template <class E, class F, class S, class T>
    bool operator()(const E &, F &Fsm, S &, T &) const {
      return Fsm.Calls_ > 0;
    }
  };
  struct HasNoCall {
    template <class E, class F, class S, class T>
    bool operator()(const E &, F &Fsm, S &, T &) const {
      return Fsm.Calls_ == 0;
    }
  };
  struct HasMoreCalls {
    template <class E, class F, class S, class T>
    bool operator()(const E &, F &Fsm, S &, T &) const {
      return Fsm.Calls_ > 1;
    }
  };
  struct HasOneCall {
    template <class E, class F, class S, class T>
    bool operator()(const E &, F &Fsm, S &, T &) const {
      return Fsm.Calls_ == 1;
    }
  };

  struct AddCall {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      ++Fsm.Calls_;
    }
  };
  struct RemoveCall {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      --Fsm.Calls_;
    }
  };
  struct RemoveLastCall {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      --Fsm.Calls_;
      Fsm.Actions_.push_back(ServerAction::CloseIdle);
      Fsm.Actions_.push_back(ServerAction::RecordLastCall);
    }
  };
  struct StartDrain {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Actions_.push_back(ServerAction::CloseIdle);
    }
  };

  struct FinishDrain {
    template <class E, class F, class S, class T>
    void operator()(const E &, F &Fsm, S &, T &) const {
      Fsm.Actions_.push_back(ServerAction::CloseIdle);
      Fsm.Actions_.push_back(ServerAction::RecordLastCall);
    }
  };

  // Boost.MSM requires this name. The columns are aligned by hand.
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      //  State     Event              Next      Action          Guard
      Row<Serving,  ServerCallStarted, none,     AddCall,        none>,
      Row<Serving,  ServerCallEnded,   none,     RemoveCall,     HasCalls>,
      Row<Serving,  ServerLeft,        Draining, StartDrain,     HasCalls>,
      Row<Serving,  ServerLeft,        Drained,  FinishDrain,    HasNoCall>,
      Row<Draining, ServerCallStarted, none,     AddCall,        none>,
      Row<Draining, ServerCallEnded,   none,     RemoveCall,     HasMoreCalls>,
      Row<Draining, ServerCallEnded,   Drained,  RemoveLastCall, HasOneCall>,
      Row<Draining, ServerListed,      Serving,  none,           none>,
      Row<Drained,  ServerCallStarted, Draining, AddCall,        none>,
      Row<Drained,  ServerListed,      Serving,  none,           none>> {};
  // clang-format on

  template <class F, class E> void no_transition(const E &, F &, int) {}
};

using ServerFsm = msm::back::state_machine<ServerDef>;

} // namespace

struct ServerLifecycle::Machine {
  ServerFsm Fsm_;
};

ServerLifecycle::ServerLifecycle() : Machine_(std::make_unique<Machine>()) {
  Machine_->Fsm_.start();
}

ServerLifecycle::~ServerLifecycle() = default;

std::vector<ServerAction> ServerLifecycle::process(const ServerEvent &Event) {
  std::vector<ServerAction> &Actions = Machine_->Fsm_.Actions_;
  Actions.clear();
  std::visit([this](const auto &E) { Machine_->Fsm_.process_event(E); }, Event);
  return Actions;
}

unsigned ServerLifecycle::calls() const { return Machine_->Fsm_.Calls_; }

bool ServerLifecycle::isLeaving() const {
  using States = ServerFsm::stt;
  return Machine_->Fsm_.current_state()[0] !=
         msm::back::get_state_id<States, ServerDef::Serving>::value;
}

} // namespace cumingauge::traffic

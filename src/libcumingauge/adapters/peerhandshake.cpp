#include "adapters/peerhandshake.h"
#include "adapters/keyproof.h"
#include <algorithm>
#include <array>
#include <boost/algorithm/hex.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <iterator>
#include <openssl/rand.h>
#include <stdexcept>

namespace cumingauge::adapters {

namespace {

namespace msm = boost::msm;
using model::ResultCode;
using msm::front::Row;

constexpr const char *AcceptingPurpose = "accepting";
constexpr const char *OpeningPurpose = "opening";
constexpr const char *WelcomePurpose = "welcome";

/// Event that starts the handshake on the opening side.
struct Begin {};

/// Data of the handshake, read and written by the actions of the state machine.
struct HandshakeData {
  HandshakeSettings Settings_;
  std::string OwnNonce_;
  KeyProofInput ProofInput_; ///< data both sides have agreed on so far
  model::Member Peer_;
  bool PeerIsOperator_ = false;
  HandshakeStep Step_;
};

std::string makeProof(const HandshakeData &Data, const char *Purpose,
                      const model::Member &Identity, bool Operator) {
  KeyProofInput ProofInput = Data.ProofInput_;
  ProofInput.Purpose_ = Purpose;
  ProofInput.Member_ = Identity;
  ProofInput.Operator_ = Operator;
  return computeKeyProof(Data.Settings_.Key_, ProofInput);
}

bool isSelf(const HandshakeData &Data, const model::Member &Identity) {
  return Identity.Process_ == Data.Settings_.Self_.Process_ &&
         Identity.Incarnation_ == Data.Settings_.Self_.Incarnation_;
}

void refuse(HandshakeData &Data, ResultCode Code) {
  Data.Step_.Refused_ = Code;
}

// Each action sets the resulting step; a step with a refusal closes the link.

struct SendHello {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event & /*Begin*/, Machine &Fsm, From & /*From*/,
                  To & /*To*/) const {
    HandshakeData &Data = Fsm.Data_;
    const HandshakeSettings &Own = Data.Settings_;
    Data.ProofInput_.LowestProtocol_ = Own.LowestProtocol_;
    Data.ProofInput_.HighestProtocol_ = Own.HighestProtocol_;
    Data.ProofInput_.OpeningNonce_ = Data.OwnNonce_;
    Data.Step_.Send_ = HandshakeHello{Own.LowestProtocol_, Own.HighestProtocol_,
                                      Data.OwnNonce_};
  }
};

struct AnswerHello {
  template <class Machine, class From, class To>
  void operator()(const HandshakeHello &Hello, Machine &Fsm, From & /*From*/,
                  To & /*To*/) const {
    HandshakeData &Data = Fsm.Data_;
    const HandshakeSettings &Own = Data.Settings_;
    const std::uint32_t Protocol =
        std::min(Hello.HighestProtocol_, Own.HighestProtocol_);
    if (Protocol < Own.LowestProtocol_ || Protocol < Hello.LowestProtocol_)
      return refuse(Data, ResultCode::PeerProtocolVersion);
    if (Hello.Nonce_.size() != Data.OwnNonce_.size())
      return refuse(Data, ResultCode::PeerMessageMalformed);
    Data.ProofInput_.LowestProtocol_ = Hello.LowestProtocol_;
    Data.ProofInput_.HighestProtocol_ = Hello.HighestProtocol_;
    Data.ProofInput_.Protocol_ = Protocol;
    Data.ProofInput_.OpeningNonce_ = Hello.Nonce_;
    Data.ProofInput_.AcceptingNonce_ = Data.OwnNonce_;
    Data.Step_.Send_ = HandshakeChallenge{
        Protocol, Data.OwnNonce_, makeProof(Data, AcceptingPurpose, {}, false)};
  }
};

struct AnswerChallenge {
  template <class Machine, class From, class To>
  void operator()(const HandshakeChallenge &Challenge, Machine &Fsm,
                  From & /*From*/, To & /*To*/) const {
    HandshakeData &Data = Fsm.Data_;
    const HandshakeSettings &Own = Data.Settings_;
    if (Challenge.Protocol_ < Own.LowestProtocol_ ||
        Challenge.Protocol_ > Own.HighestProtocol_)
      return refuse(Data, ResultCode::PeerProtocolVersion);
    Data.ProofInput_.Protocol_ = Challenge.Protocol_;
    Data.ProofInput_.AcceptingNonce_ = Challenge.Nonce_;
    if (!isSameProof(Challenge.Proof_,
                     makeProof(Data, AcceptingPurpose, {}, false)))
      return refuse(Data, ResultCode::PeerKeyInvalid);
    Data.Step_.Send_ = HandshakeProof{
        Own.Self_, Own.Operator_,
        makeProof(Data, OpeningPurpose, Own.Self_, Own.Operator_)};
  }
};

struct AnswerProof {
  template <class Machine, class From, class To>
  void operator()(const HandshakeProof &Proof, Machine &Fsm, From & /*From*/,
                  To & /*To*/) const {
    HandshakeData &Data = Fsm.Data_;
    if (!isSameProof(Proof.Proof_, makeProof(Data, OpeningPurpose,
                                             Proof.Member_, Proof.Operator_)))
      return refuse(Data, ResultCode::PeerKeyInvalid);
    if (!Proof.Operator_ && isSelf(Data, Proof.Member_))
      return refuse(Data, ResultCode::PeerUnreachable);
    Data.Peer_ = Proof.Member_;
    Data.PeerIsOperator_ = Proof.Operator_;
    const model::Member &Self = Data.Settings_.Self_;
    Data.Step_.Send_ =
        HandshakeWelcome{Self, makeProof(Data, WelcomePurpose, Self, false)};
    Data.Step_.Open_ = true;
  }
};

struct HandleWelcome {
  template <class Machine, class From, class To>
  void operator()(const HandshakeWelcome &Welcome, Machine &Fsm,
                  From & /*From*/, To & /*To*/) const {
    HandshakeData &Data = Fsm.Data_;
    if (!isSameProof(Welcome.Proof_,
                     makeProof(Data, WelcomePurpose, Welcome.Member_, false)))
      return refuse(Data, ResultCode::PeerKeyInvalid);
    Data.Peer_ = Welcome.Member_;
    Data.Step_.Open_ = true;
  }
};

struct MachineDefinition
    : public msm::front::state_machine_def<MachineDefinition> {
  struct Idle : public msm::front::state<> {};
  struct AwaitingChallenge : public msm::front::state<> {};
  struct AwaitingProof : public msm::front::state<> {};
  struct AwaitingWelcome : public msm::front::state<> {};
  struct Open : public msm::front::state<> {};

  using initial_state = Idle;
  using None = msm::front::none;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): named by Boost.MSM
  struct transition_table : public boost::mpl::vector<
      // from              event               to                 action
      Row<Idle,              Begin,              AwaitingChallenge, SendHello, None>,
      Row<Idle,              HandshakeHello,     AwaitingProof,     AnswerHello, None>,
      Row<AwaitingChallenge, HandshakeChallenge, AwaitingWelcome,   AnswerChallenge, None>,
      Row<AwaitingProof,     HandshakeProof,     Open,              AnswerProof, None>,
      Row<AwaitingWelcome,   HandshakeWelcome,   Open,              HandleWelcome, None>> {};
  // clang-format on

  template <class Machine, class Event>
  void no_transition(const Event & /*Event*/, Machine & /*Fsm*/,
                     int /*State*/) {
    refuse(Data_, ResultCode::PeerMessageMalformed);
  }

  HandshakeData Data_;
};

using Machine = msm::back::state_machine<MachineDefinition>;

} // namespace

struct Handshake {
  LinkSide Side_ = LinkSide::Opening;
  Machine Machine_;
};

namespace {

template <class Event>
HandshakeStep processMessage(Handshake &State, const Event &Input) {
  HandshakeData &Data = State.Machine_.Data_;
  // After a refusal all further messages are refused with the same code.
  if (Data.Step_.Refused_ != ResultCode::Ok)
    return Data.Step_;
  Data.Step_ = {};
  State.Machine_.process_event(Input);
  if (Data.Step_.Refused_ != ResultCode::Ok)
    Data.Step_.Send_.reset();
  return Data.Step_;
}

} // namespace

std::shared_ptr<Handshake> makeHandshake(LinkSide Side,
                                         const HandshakeSettings &Settings,
                                         std::string Nonce) {
  auto State = std::make_shared<Handshake>();
  State->Side_ = Side;
  State->Machine_.Data_.Settings_ = Settings;
  State->Machine_.Data_.OwnNonce_ = std::move(Nonce);
  State->Machine_.start();
  return State;
}

HandshakeStep beginHandshake(Handshake &State) {
  return State.Side_ == LinkSide::Opening ? processMessage(State, Begin{})
                                          : HandshakeStep{};
}

HandshakeStep advanceHandshake(Handshake &State,
                               const HandshakeMessage &Message) {
  return std::visit(
      [&](const auto &Input) { return processMessage(State, Input); }, Message);
}

const model::Member &peerOf(const Handshake &State) {
  return State.Machine_.Data_.Peer_;
}

bool isOperatorLink(const Handshake &State) {
  return State.Machine_.Data_.PeerIsOperator_;
}

std::string makeNonce() {
  constexpr std::size_t NonceBytes = 32;
  std::array<unsigned char, NonceBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    throw std::runtime_error(
        "handshake nonce: the system's random generator returned no "
        "bytes");
  std::string Out;
  boost::algorithm::hex_lower(Bytes.begin(), Bytes.end(),
                              std::back_inserter(Out));
  return Out;
}

} // namespace cumingauge::adapters

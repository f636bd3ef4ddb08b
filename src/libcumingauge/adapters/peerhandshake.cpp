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

/// The first event of the opening side.
struct Begin {};

/// What the actions of the machine read and write.
struct HandshakeData {
  HandshakeSettings Settings_;
  std::string OwnNonce_;
  ProofText Text_; ///< what both sides know so far
  model::Member Peer_;
  bool PeerIsOperator_ = false;
  HandshakeStep Step_;
};

std::string proofOf(const HandshakeData &Data, const char *Purpose,
                    const model::Member &Who, bool Operator) {
  ProofText Text = Data.Text_;
  Text.Purpose_ = Purpose;
  Text.Member_ = Who;
  Text.Operator_ = Operator;
  return proveKey(Data.Settings_.Key_, Text);
}

bool isSelf(const HandshakeData &Data, const model::Member &Who) {
  return Who.Process_ == Data.Settings_.Self_.Process_ &&
         Who.Incarnation_ == Data.Settings_.Self_.Incarnation_;
}

void refuse(HandshakeData &Data, ResultCode Code) {
  Data.Step_.Refused_ = Code;
}

// Each action fills in the step; a step that refuses ends the link.

struct SendHello {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event & /*Begin*/, Machine &Fsm, From & /*From*/,
                  To & /*To*/) const {
    HandshakeData &Data = Fsm.Data_;
    const HandshakeSettings &Own = Data.Settings_;
    Data.Text_.LowestProtocol_ = Own.LowestProtocol_;
    Data.Text_.HighestProtocol_ = Own.HighestProtocol_;
    Data.Text_.OpeningNonce_ = Data.OwnNonce_;
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
    Data.Text_.LowestProtocol_ = Hello.LowestProtocol_;
    Data.Text_.HighestProtocol_ = Hello.HighestProtocol_;
    Data.Text_.Protocol_ = Protocol;
    Data.Text_.OpeningNonce_ = Hello.Nonce_;
    Data.Text_.AcceptingNonce_ = Data.OwnNonce_;
    Data.Step_.Send_ = HandshakeChallenge{
        Protocol, Data.OwnNonce_, proofOf(Data, AcceptingPurpose, {}, false)};
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
    Data.Text_.Protocol_ = Challenge.Protocol_;
    Data.Text_.AcceptingNonce_ = Challenge.Nonce_;
    if (!isSameProof(Challenge.Proof_,
                     proofOf(Data, AcceptingPurpose, {}, false)))
      return refuse(Data, ResultCode::PeerKeyInvalid);
    Data.Step_.Send_ =
        HandshakeProof{Own.Self_, Own.Operator_,
                       proofOf(Data, OpeningPurpose, Own.Self_, Own.Operator_)};
  }
};

struct AnswerProof {
  template <class Machine, class From, class To>
  void operator()(const HandshakeProof &Proof, Machine &Fsm, From & /*From*/,
                  To & /*To*/) const {
    HandshakeData &Data = Fsm.Data_;
    if (!isSameProof(Proof.Proof_, proofOf(Data, OpeningPurpose, Proof.Member_,
                                           Proof.Operator_)))
      return refuse(Data, ResultCode::PeerKeyInvalid);
    if (!Proof.Operator_ && isSelf(Data, Proof.Member_))
      return refuse(Data, ResultCode::PeerUnreachable);
    Data.Peer_ = Proof.Member_;
    Data.PeerIsOperator_ = Proof.Operator_;
    const model::Member &Self = Data.Settings_.Self_;
    Data.Step_.Send_ =
        HandshakeWelcome{Self, proofOf(Data, WelcomePurpose, Self, false)};
    Data.Step_.Open_ = true;
  }
};

struct TakeWelcome {
  template <class Machine, class From, class To>
  void operator()(const HandshakeWelcome &Welcome, Machine &Fsm,
                  From & /*From*/, To & /*To*/) const {
    HandshakeData &Data = Fsm.Data_;
    if (!isSameProof(Welcome.Proof_,
                     proofOf(Data, WelcomePurpose, Welcome.Member_, false)))
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
      Row<AwaitingWelcome,   HandshakeWelcome,   Open,              TakeWelcome, None>> {};
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

template <class Event> HandshakeStep feed(Handshake &State, const Event &What) {
  HandshakeData &Data = State.Machine_.Data_;
  // A link that was refused stays so.
  if (Data.Step_.Refused_ != ResultCode::Ok)
    return Data.Step_;
  Data.Step_ = {};
  State.Machine_.process_event(What);
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
  return State.Side_ == LinkSide::Opening ? feed(State, Begin{})
                                          : HandshakeStep{};
}

HandshakeStep advanceHandshake(Handshake &State,
                               const HandshakeMessage &Message) {
  return std::visit([&](const auto &What) { return feed(State, What); },
                    Message);
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
    throw std::runtime_error("no random bytes from the system");
  std::string Out;
  boost::algorithm::hex_lower(Bytes.begin(), Bytes.end(),
                              std::back_inserter(Out));
  return Out;
}

} // namespace cumingauge::adapters

#pragma once

#include "model/member.h"
#include <cstdint>
#include <string>
#include <variant>

/// Messages that open a link. Until both sides have proved the key, they hold
/// nothing but protocol versions, random numbers and proofs; the accepting
/// side proves first.
namespace cumingauge::adapters {

/// From the opening side: the protocol versions it speaks.
struct HandshakeHello {
  static constexpr const char *Kind = "hello";
  std::uint32_t LowestProtocol_ = 0;
  std::uint32_t HighestProtocol_ = 0;
  std::string Nonce_; ///< hexadecimal
};
BOOST_DESCRIBE_STRUCT(HandshakeHello, (),
                      (LowestProtocol_, HighestProtocol_, Nonce_))

/// From the accepting side: the protocol version of this link and the proof
/// that it has the key.
struct HandshakeChallenge {
  static constexpr const char *Kind = "challenge";
  std::uint32_t Protocol_ = 0;
  std::string Nonce_;
  std::string Proof_;
};
BOOST_DESCRIBE_STRUCT(HandshakeChallenge, (), (Protocol_, Nonce_, Proof_))

/// From the opening side: who it is, with the proof that it has the key.
struct HandshakeProof {
  static constexpr const char *Kind = "proof";
  model::Member Member_;
  bool Operator_ = false; ///< an operator's client, not a member
  std::string Proof_;
};
BOOST_DESCRIBE_STRUCT(HandshakeProof, (), (Member_, Operator_, Proof_))

/// From the accepting side: who it is. The link is open.
struct HandshakeWelcome {
  static constexpr const char *Kind = "welcome";
  model::Member Member_;
  std::string Proof_;
};
BOOST_DESCRIBE_STRUCT(HandshakeWelcome, (), (Member_, Proof_))

using HandshakeMessage = std::variant<HandshakeHello, HandshakeChallenge,
                                      HandshakeProof, HandshakeWelcome>;

} // namespace cumingauge::adapters

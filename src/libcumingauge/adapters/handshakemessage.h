#pragma once

#include "model/member.h"
#include <cstdint>
#include <string>
#include <variant>

/// Messages of the handshake that opens a link. Before a side has proved the
/// shared key, it gets only protocol versions, nonces and proofs. The accepting
/// side proves the key first.
namespace cumingauge::adapters {

/// Sent by the opening side: the range of protocol versions that it supports.
struct HandshakeHello {
  static constexpr const char *Kind = "hello";
  std::uint32_t LowestProtocol_ = 0;
  std::uint32_t HighestProtocol_ = 0;
  std::string Nonce_; ///< random bytes, hexadecimal
};
BOOST_DESCRIBE_STRUCT(HandshakeHello, (),
                      (LowestProtocol_, HighestProtocol_, Nonce_))

/// Sent by the accepting side: the protocol version of this link, and the proof
/// that the accepting side has the key.
struct HandshakeChallenge {
  static constexpr const char *Kind = "challenge";
  std::uint32_t Protocol_ = 0;
  std::string Nonce_;
  std::string Proof_;
};
BOOST_DESCRIBE_STRUCT(HandshakeChallenge, (), (Protocol_, Nonce_, Proof_))

/// Sent by the opening side: its identity, and the proof that it has the key.
struct HandshakeProof {
  static constexpr const char *Kind = "proof";
  model::Member Member_;
  bool Operator_ = false; ///< an operator's client, not a member of the fleet
  std::string Proof_;
};
BOOST_DESCRIBE_STRUCT(HandshakeProof, (), (Member_, Operator_, Proof_))

/// Sent by the accepting side: its identity with a proof. The link is open.
struct HandshakeWelcome {
  static constexpr const char *Kind = "welcome";
  model::Member Member_;
  std::string Proof_;
};
BOOST_DESCRIBE_STRUCT(HandshakeWelcome, (), (Member_, Proof_))

using HandshakeMessage = std::variant<HandshakeHello, HandshakeChallenge,
                                      HandshakeProof, HandshakeWelcome>;

} // namespace cumingauge::adapters

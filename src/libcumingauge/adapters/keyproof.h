#pragma once

#include "model/member.h"
#include <cstdint>
#include <string>

namespace cumingauge::adapters {

/// Data that a proof of the shared key covers. Each message has a purpose of
/// its own, so that a proof reflected to its sender is not valid.
struct KeyProofInput {
  std::string Purpose_;
  std::uint32_t LowestProtocol_ = 0;
  std::uint32_t HighestProtocol_ = 0;
  std::uint32_t Protocol_ = 0;
  std::string OpeningNonce_;
  std::string AcceptingNonce_;
  model::Member Member_; ///< sender; empty in the proof of HandshakeChallenge
  bool Operator_ = false;
};
BOOST_DESCRIBE_STRUCT(KeyProofInput, (),
                      (Purpose_, LowestProtocol_, HighestProtocol_, Protocol_,
                       OpeningNonce_, AcceptingNonce_, Member_, Operator_))

/// Returns the HMAC-SHA256 of the CBOR encoding of \p Input with the key \p
/// Key, in lowercase hexadecimal.
std::string computeKeyProof(const std::string &Key, const KeyProofInput &Input);

/// Compares two proofs in constant time: the time does not depend on the
/// position of the first difference, so that it reveals nothing about the
/// expected proof.
bool isSameProof(const std::string &Left, const std::string &Right);

} // namespace cumingauge::adapters

#pragma once

#include "model/member.h"
#include <cstdint>
#include <string>

namespace cumingauge::adapters {

/// What a proof of the shared key covers. The purpose differs for each message
/// so that a proof sent back to its maker proves nothing.
struct ProofText {
  std::string Purpose_;
  std::uint32_t LowestProtocol_ = 0;
  std::uint32_t HighestProtocol_ = 0;
  std::uint32_t Protocol_ = 0;
  std::string OpeningNonce_;
  std::string AcceptingNonce_;
  model::Member Member_; ///< empty before the key is proved
  bool Operator_ = false;
};
BOOST_DESCRIBE_STRUCT(ProofText, (),
                      (Purpose_, LowestProtocol_, HighestProtocol_, Protocol_,
                       OpeningNonce_, AcceptingNonce_, Member_, Operator_))

/// HMAC-SHA256 of the text as hexadecimal text.
std::string proveKey(const std::string &Key, const ProofText &Text);

/// Compares in a time that does not depend on where the two differ.
bool isSameProof(const std::string &Left, const std::string &Right);

} // namespace cumingauge::adapters

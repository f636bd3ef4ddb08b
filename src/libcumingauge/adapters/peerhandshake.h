#pragma once

#include "adapters/handshakemessage.h"
#include "model/resultcode.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

/// The opening of a link as a state machine without socket or clock: both
/// sides prove the shared key, then tell who they are.
namespace cumingauge::adapters {

/// Protocol versions that this build speaks. A message's keys never change
/// within a version; two sides use the highest version that both speak, so a
/// fleet is upgraded by builds that speak the old and the new one.
constexpr std::uint32_t LowestPeerProtocol = 1;
constexpr std::uint32_t HighestPeerProtocol = 1;

/// Shortest key that settings may hold, in bytes.
constexpr std::size_t MinKeyBytes = 16;

enum class LinkSide { Opening, Accepting };

struct HandshakeSettings {
  std::string Key_;
  model::Member Self_;
  bool Operator_ = false;
  std::uint32_t LowestProtocol_ = LowestPeerProtocol;
  std::uint32_t HighestProtocol_ = HighestPeerProtocol;
};

/// What to do after a message.
struct HandshakeStep {
  std::optional<HandshakeMessage> Send_;
  bool Open_ = false;
  /// PeerKeyInvalid, PeerProtocolVersion, PeerMessageMalformed, or
  /// PeerUnreachable when a process has reached itself.
  model::ResultCode Refused_ = model::ResultCode::Ok;
};

struct Handshake;

/// \param Nonce a fresh random text, see makeNonce.
std::shared_ptr<Handshake> makeHandshake(LinkSide Side,
                                         const HandshakeSettings &Settings,
                                         std::string Nonce);

/// The first step of the opening side; does nothing on the other one.
HandshakeStep beginHandshake(Handshake &State);

HandshakeStep advanceHandshake(Handshake &State,
                               const HandshakeMessage &Message);

/// Who the other side is; valid once the link is open.
const model::Member &peerOf(const Handshake &State);
bool isOperatorLink(const Handshake &State);

/// 32 random bytes as hexadecimal text.
std::string makeNonce();

} // namespace cumingauge::adapters

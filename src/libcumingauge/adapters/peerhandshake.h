#pragma once

#include "adapters/handshakemessage.h"
#include "model/resultcode.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

/// Handshake that opens a link, as a state machine without sockets and clocks:
/// both sides prove that they have the shared key and exchange their
/// identities.
namespace cumingauge::adapters {

/// Range of protocol versions that this build supports. The keys of a message
/// never change within a version. Two sides use the highest version that both
/// support, so a fleet is upgraded with builds that support the old and the new
/// version.
constexpr std::uint32_t LowestPeerProtocol = 5;
constexpr std::uint32_t HighestPeerProtocol = 5;

/// Shortest allowed shared key, in bytes.
constexpr std::size_t MinKeyBytes = 16;

enum class LinkSide { Opening, Accepting };

struct HandshakeSettings {
  std::string Key_;
  model::Member Self_;
  bool Operator_ = false;
  std::uint32_t LowestProtocol_ = LowestPeerProtocol;
  std::uint32_t HighestProtocol_ = HighestPeerProtocol;
};

/// Result of a handshake message: what the link has to do next.
struct HandshakeStep {
  std::optional<HandshakeMessage> Send_; ///< message to send, if any
  bool Open_ = false;                    ///< the handshake is complete
  /// Reason to close the link, or Ok: PeerKeyInvalid, PeerProtocolVersion,
  /// PeerMessageMalformed, or PeerUnreachable when a process has connected to
  /// itself.
  model::ResultCode Refused_ = model::ResultCode::Ok;
};

/// State of one handshake.
struct Handshake;

/// Creates the handshake of one side of a link.
/// \param Nonce unique random text, see makeNonce.
std::shared_ptr<Handshake> makeHandshake(LinkSide Side,
                                         const HandshakeSettings &Settings,
                                         std::string Nonce);

/// Returns the first step of the opening side; an empty step on the accepting
/// side.
HandshakeStep beginHandshake(Handshake &State);

/// Processes a message received from the other side.
HandshakeStep advanceHandshake(Handshake &State,
                               const HandshakeMessage &Message);

/// Returns the identity of the other side; valid once the link is open.
const model::Member &peerOf(const Handshake &State);

/// Returns whether the other side is an operator's client; valid once the link
/// is open.
bool isOperatorLink(const Handshake &State);

/// Returns 32 random bytes in lowercase hexadecimal.
/// \throws std::runtime_error when the system returns no random bytes.
std::string makeNonce();

} // namespace cumingauge::adapters

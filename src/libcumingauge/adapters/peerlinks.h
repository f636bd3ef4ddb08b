#pragma once

#include "adapters/peerhandshake.h"
#include "control/core.h"
#include "control/peermessage.h"
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::adapters {

struct PeerLinksSettings {
  std::string Host_ = "127.0.0.1"; ///< address that accepts links
  std::uint16_t Port_ = 0;         ///< 0: any free port
  HandshakeSettings Handshake_;
  model::milliseconds HandshakeTimeout_{2000};
  /// Limit of the send queue of a link in bytes. A link above the limit is
  /// closed, because its peer is too slow; the peer gets the whole state on a
  /// new link.
  std::size_t MaxQueuedBytes_ = 8 * 1024 * 1024;
  unsigned MaxUnauthenticatedLinks_ =
      64; ///< accepted links whose peer has not proved the key
};

/// Statistics of all links. Bytes include the heads of WebSocket frames; the
/// counters include closed links.
struct PeerLinkStats {
  std::uint64_t MessagesSent_ = 0;
  std::uint64_t MessagesReceived_ = 0;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
  unsigned Links_ = 0; ///< open links, including those of operators
};

/// A link on which both sides have proved the key.
struct OpenedLink {
  control::LinkId Link_ = 0;
  model::Member Peer_;
  bool Operator_ = false;  ///< the other side is an operator's client
  bool Outbound_ = false;  ///< opened by PeerLinks::open
  std::string Host_;       ///< remote address
  std::uint16_t Port_ = 0; ///< remote port; 0 for an accepted link
};

/// Callbacks to the owner of the links. They run on the thread of the
/// io_context and never within a call to PeerLinks.
struct PeerLinkHandlers {
  std::function<void(const OpenedLink &)> OnOpened_;
  std::function<void(control::LinkId, control::PeerMessage)> OnMessage_;
  std::function<void(control::LinkId, model::ResultCode)> OnClosed_;
  /// A link requested by PeerLinks::open could not be opened.
  std::function<void(const std::string &Host, std::uint16_t Port,
                     model::ResultCode)>
      OnFailed_;
};

/// Links to other processes and to operators: CBOR messages over WebSocket. A
/// link is open from OnOpened_, when both sides have proved the key, until
/// OnClosed_.
class PeerLinks {
public:
  PeerLinks(boost::asio::io_context &Io, PeerLinksSettings Settings,
            PeerLinkHandlers Handlers);
  ~PeerLinks();

  /// Starts to accept links.
  /// \throws std::system_error when the address cannot be bound.
  void listen();

  /// Returns the port that accepts links; 0 before listen.
  std::uint16_t port() const;

  /// Sets the identity sent to peers. It contains the port, so it is called
  /// after listen.
  void setSelf(const model::Member &Self);

  /// Opens a link; OnOpened_ or OnFailed_ gives the result.
  void open(const std::string &Host, std::uint16_t Port);

  /// Closes a link. The other side receives \p Reason in the close code.
  void close(control::LinkId Link, model::ResultCode Reason);

  /// Sends a message on an open link; does nothing when the link is not open.
  /// Closes the link when its send queue exceeds MaxQueuedBytes_.
  void send(control::LinkId Link,
            const std::shared_ptr<const control::PeerMessage> &Message);

  /// Closes links whose handshake has exceeded HandshakeTimeout_. To be called
  /// about every 100 ms.
  void expireHandshakes(model::TimePoint Now);

  /// Closes all links and stops accepting new ones.
  void stop();

  PeerLinkStats stats() const;

private:
  std::shared_ptr<struct PeerLinksState> State_;
};

} // namespace cumingauge::adapters

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
  std::string Host_ = "127.0.0.1"; ///< where links are accepted
  std::uint16_t Port_ = 0;         ///< 0 takes a free one
  HandshakeSettings Handshake_;
  model::milliseconds HandshakeTimeout_{2000};
  /// A link with more bytes waiting to be sent is closed: its peer is too slow
  /// and will get the state anew.
  std::size_t MaxQueuedBytes_ = 8 * 1024 * 1024;
  unsigned MaxUnprovedLinks_ = 64; ///< accepted, but key not yet proved
};

/// Bytes count WebSocket frames; a closed link's are kept.
struct PeerLinkFigures {
  std::uint64_t MessagesSent_ = 0;
  std::uint64_t MessagesReceived_ = 0;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
  unsigned Links_ = 0; ///< open, operators' included
};

/// A link whose both sides have proved the key.
struct OpenedLink {
  control::LinkId Link_ = 0;
  model::Member Peer_;
  bool Operator_ = false;  ///< the other side is an operator's client
  bool Ordered_ = false;   ///< comes from a call to open
  std::string Host_;       ///< address that it was opened to, or comes from
  std::uint16_t Port_ = 0; ///< 0 unless ordered
};

/// What the owner of the links is told, on the thread that runs the
/// io_context. None of them is called from within a call to PeerLinks.
struct PeerLinkHandlers {
  std::function<void(const OpenedLink &)> OnOpened_;
  std::function<void(control::LinkId, control::PeerMessage)> OnMessage_;
  std::function<void(control::LinkId, model::ResultCode)> OnClosed_;
  /// An ordered link did not come to be.
  std::function<void(const std::string &Host, std::uint16_t Port,
                     model::ResultCode)>
      OnFailed_;
};

/// Links to other processes and to operators over WebSocket with CBOR
/// messages. A link counts from OnOpened_, when both sides have proved the
/// key, to OnClosed_.
class PeerLinks {
public:
  PeerLinks(boost::asio::io_context &Io, PeerLinksSettings Settings,
            PeerLinkHandlers Handlers);
  ~PeerLinks();

  /// Accepts links from now on. Throws std::system_error when the address
  /// cannot be bound.
  void listen();

  /// Port that links are accepted on; 0 before listen.
  std::uint16_t port() const;

  /// Sets the identity told to peers, once the port is known.
  void setSelf(const model::Member &Self);

  void open(const std::string &Host, std::uint16_t Port);

  void close(control::LinkId Link, model::ResultCode Reason);

  void send(control::LinkId Link,
            const std::shared_ptr<const control::PeerMessage> &Message);

  /// Closes links whose handshake takes too long. To be called about every
  /// 100 ms.
  void expireHandshakes(model::TimePoint Now);

  /// Closes all links and accepts no more.
  void stop();

  PeerLinkFigures stats() const;

private:
  std::shared_ptr<struct PeerLinksState> State_;
};

} // namespace cumingauge::adapters

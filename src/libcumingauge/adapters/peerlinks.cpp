#include "adapters/peerlinks.h"
#include "adapters/peercodec.h"
#include "adapters/refusallog.h"
#include "adapters/websockets.h"
#include <boost/asio/post.hpp>
#include <unordered_map>
#include <vector>

namespace cumingauge::adapters {

namespace {

using control::LinkId;
using model::ResultCode;

/// Largest handshake message, in bytes.
constexpr std::size_t MaxHandshakeBytes = 4096;
/// Result codes are sent as WebSocket close codes of the private range, which
/// begins here.
constexpr int CloseCodeBase = 4000;
constexpr int NormalClose = 1000;
// Standard close codes for a fault in the received messages.
constexpr int ProtocolErrorClose = 1002;
constexpr int InvalidPayloadClose = 1007;
constexpr int TooBigClose = 1009;

model::TimePoint now() { return std::chrono::steady_clock::now(); }

/// Returns the size in bytes of a WebSocket frame with a payload of \p Payload
/// bytes.
std::size_t frameBytes(std::size_t Payload, bool Masked) {
  constexpr std::size_t ShortFrame = 126;
  constexpr std::size_t MediumFrame = 65536;
  const std::size_t Head =
      Payload < ShortFrame ? 2 : (Payload < MediumFrame ? 4 : 10);
  return Head + (Masked ? 4 : 0) + Payload;
}

/// Returns the result code that a WebSocket close code stands for;
/// PeerUnreachable when it stands for none.
ResultCode reasonFromCloseCode(int CloseCode) {
  if (CloseCode == TooBigClose)
    return ResultCode::PeerMessageTooLarge;
  if (CloseCode == ProtocolErrorClose || CloseCode == InvalidPayloadClose)
    return ResultCode::PeerMessageMalformed;
  const auto Code = static_cast<ResultCode>(CloseCode - CloseCodeBase);
  const bool IsKnownCode =
      CloseCode > CloseCodeBase && model::nameOf(Code) != "Unnamed";
  return IsKnownCode ? Code : ResultCode::PeerUnreachable;
}

int closeCodeOf(ResultCode Reason) {
  return Reason == ResultCode::Ok ? NormalClose
                                  : CloseCodeBase + static_cast<int>(Reason);
}

/// One link from the start of its handshake to its end.
struct Link {
  LinkSide Side_ = LinkSide::Accepting;
  std::string RemoteHost_;
  std::uint16_t RemotePort_ = 0; ///< 0 for an accepted link
  std::shared_ptr<Handshake> Handshake_;
  model::TimePoint StartedAt_;
  bool Open_ = false;
};

} // namespace

struct PeerLinksState : std::enable_shared_from_this<PeerLinksState> {
  PeerLinksState(boost::asio::io_context &Io, PeerLinksSettings Settings,
                 PeerLinkHandlers Handlers);

  WebSocketHandlers socketHandlers();
  void onAccepted(LinkId Id, const std::string &RemoteHost);
  void onReceived(LinkId Id, const std::string &Bytes, bool Binary);
  void handleHandshakeMessage(LinkId Id, const std::string &Bytes);
  void handlePeerMessage(LinkId Id, const std::string &Bytes);
  void applyStep(LinkId Id, const HandshakeStep &Step);
  void close(LinkId Id, ResultCode Reason);
  void onEnded(LinkId Id, ResultCode Reason);
  void send(LinkId Id, const std::string &Bytes);
  void post(std::function<void()> Task);
  Link *find(LinkId Id);

  boost::asio::io_context &Io_;
  PeerLinksSettings Settings_;
  const PeerLinkHandlers Handlers_;
  WebSockets Sockets_;
  std::unordered_map<LinkId, Link> Links_;
  std::uint16_t Port_ = 0;
  bool Stopped_ = false;
  unsigned UnauthenticatedLinks_ =
      0; ///< accepted links whose handshake is not complete
  PeerLinkStats Stats_;
  RefusalLog Refusals_;
  /// Last encoded message and its encoding, reused because one message is often
  /// sent to many links.
  std::shared_ptr<const control::PeerMessage> EncodedMessage_;
  std::string EncodedBytes_;
};

PeerLinksState::PeerLinksState(boost::asio::io_context &Io,
                               PeerLinksSettings Settings,
                               PeerLinkHandlers Handlers)
    : Io_(Io), Settings_(std::move(Settings)), Handlers_(std::move(Handlers)),
      Sockets_(Io, socketHandlers(), MaxHandshakeBytes,
               static_cast<unsigned>(Settings_.HandshakeTimeout_.count())) {}

WebSocketHandlers PeerLinksState::socketHandlers() {
  WebSocketHandlers Out;
  Out.CanAccept_ = [this] {
    return !Stopped_ &&
           UnauthenticatedLinks_ < Settings_.MaxUnauthenticatedLinks_;
  };
  Out.OnAccepted_ = [this](LinkId Id, const std::string &RemoteHost) {
    onAccepted(Id, RemoteHost);
  };
  Out.OnConnected_ = [this](LinkId Id) {
    if (Link *Entry = find(Id))
      applyStep(Id, beginHandshake(*Entry->Handshake_));
  };
  Out.OnBytes_ = [this](LinkId Id, const std::string &Bytes, bool Binary) {
    onReceived(Id, Bytes, Binary);
  };
  Out.OnEnded_ = [this](LinkId Id, int CloseCode) {
    const ResultCode Reason = reasonFromCloseCode(CloseCode);
    if (const Link *Entry = find(Id);
        Entry && Reason != ResultCode::PeerUnreachable)
      Refusals_.record(Entry->RemoteHost_, Reason, now());
    onEnded(Id, Reason);
  };
  return Out;
}

void PeerLinksState::onAccepted(LinkId Id, const std::string &RemoteHost) {
  Link &Entry = Links_[Id];
  Entry.RemoteHost_ = RemoteHost;
  Entry.Handshake_ =
      makeHandshake(LinkSide::Accepting, Settings_.Handshake_, makeNonce());
  Entry.StartedAt_ = now();
  ++UnauthenticatedLinks_;
}

void PeerLinksState::onReceived(LinkId Id, const std::string &Bytes,
                                bool Binary) {
  Link *Entry = find(Id);
  if (!Entry)
    return;
  ++Stats_.MessagesReceived_;
  Stats_.BytesReceived_ +=
      frameBytes(Bytes.size(), Entry->Side_ == LinkSide::Accepting);
  if (!Binary)
    return close(Id, ResultCode::PeerMessageMalformed);
  if (Entry->Open_)
    handlePeerMessage(Id, Bytes);
  else
    handleHandshakeMessage(Id, Bytes);
}

void PeerLinksState::handleHandshakeMessage(LinkId Id,
                                            const std::string &Bytes) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Message, decodeCbor<HandshakeMessage>(Bytes));
        applyStep(Id, advanceHandshake(*find(Id)->Handshake_, Message));
        return {};
      },
      [&](const PeerCodecError &Error) { close(Id, Error.Code_); },
      [&] { close(Id, ResultCode::PeerMessageMalformed); });
}

void PeerLinksState::handlePeerMessage(LinkId Id, const std::string &Bytes) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Message, decodePeerMessage(Bytes));
        Handlers_.OnMessage_(Id, std::move(Message));
        return {};
      },
      [&](const PeerCodecError &Error) { close(Id, Error.Code_); },
      [&] { close(Id, ResultCode::PeerMessageMalformed); });
}

void PeerLinksState::applyStep(LinkId Id, const HandshakeStep &Step) {
  if (Step.Refused_ != ResultCode::Ok)
    return close(Id, Step.Refused_);
  if (Step.Send_)
    send(Id, encodeCbor(*Step.Send_));
  if (!Step.Open_)
    return;
  Link &Entry = *find(Id);
  Entry.Open_ = true;
  Sockets_.setMaxMessageBytes(Id, MaxPeerMessageBytes);
  if (Entry.Side_ == LinkSide::Accepting)
    --UnauthenticatedLinks_;
  ++Stats_.Links_;
  Handlers_.OnOpened_(
      {Id, peerOf(*Entry.Handshake_), isOperatorLink(*Entry.Handshake_),
       Entry.Side_ == LinkSide::Opening, Entry.RemoteHost_, Entry.RemotePort_});
}

void PeerLinksState::close(LinkId Id, ResultCode Reason) {
  Link *Entry = find(Id);
  if (!Entry)
    return;
  if (Reason != ResultCode::Ok)
    Refusals_.record(Entry->RemoteHost_, Reason, now());
  Sockets_.close(Id, closeCodeOf(Reason), std::string(model::nameOf(Reason)));
  post([this, Id, Reason] { onEnded(Id, Reason); });
}

void PeerLinksState::onEnded(LinkId Id, ResultCode Reason) {
  const auto Found = Links_.find(Id);
  if (Found == Links_.end())
    return;
  const Link Entry = std::move(Found->second);
  Links_.erase(Found);
  if (Entry.Open_) {
    --Stats_.Links_;
    Handlers_.OnClosed_(Id, Reason);
  } else if (Entry.Side_ == LinkSide::Accepting) {
    --UnauthenticatedLinks_;
  } else {
    Handlers_.OnFailed_(Entry.RemoteHost_, Entry.RemotePort_, Reason);
  }
}

void PeerLinksState::send(LinkId Id, const std::string &Bytes) {
  Link *Entry = find(Id);
  if (!Entry || !Sockets_.send(Id, Bytes))
    return;
  ++Stats_.MessagesSent_;
  Stats_.BytesSent_ +=
      frameBytes(Bytes.size(), Entry->Side_ == LinkSide::Opening);
}

void PeerLinksState::post(std::function<void()> Task) {
  boost::asio::post(Io_, [Weak = weak_from_this(), Task = std::move(Task)] {
    if (const auto Self = Weak.lock())
      Task();
  });
}

Link *PeerLinksState::find(LinkId Id) {
  const auto Found = Links_.find(Id);
  return Found == Links_.end() ? nullptr : &Found->second;
}

PeerLinks::PeerLinks(boost::asio::io_context &Io, PeerLinksSettings Settings,
                     PeerLinkHandlers Handlers)
    : State_(std::make_shared<PeerLinksState>(Io, std::move(Settings),
                                              std::move(Handlers))) {}

PeerLinks::~PeerLinks() = default;

void PeerLinks::listen() {
  State_->Port_ =
      State_->Sockets_.listen(State_->Settings_.Host_, State_->Settings_.Port_);
}

std::uint16_t PeerLinks::port() const { return State_->Port_; }

void PeerLinks::setSelf(const model::Member &Self) {
  State_->Settings_.Handshake_.Self_ = Self;
}

void PeerLinks::open(const std::string &Host, std::uint16_t Port) {
  const LinkId Id = State_->Stopped_ ? 0 : State_->Sockets_.open(Host, Port);
  if (Id == 0)
    return State_->post([State = State_.get(), Host, Port] {
      State->Handlers_.OnFailed_(Host, Port, ResultCode::PeerUnreachable);
    });
  Link &Entry = State_->Links_[Id];
  Entry.Side_ = LinkSide::Opening;
  Entry.RemoteHost_ = Host;
  Entry.RemotePort_ = Port;
  Entry.Handshake_ = makeHandshake(LinkSide::Opening,
                                   State_->Settings_.Handshake_, makeNonce());
  Entry.StartedAt_ = now();
}

void PeerLinks::close(LinkId Link, ResultCode Reason) {
  State_->close(Link, Reason);
}

void PeerLinks::send(
    LinkId Link, const std::shared_ptr<const control::PeerMessage> &Message) {
  const auto *Entry = State_->find(Link);
  if (!Entry || !Entry->Open_)
    return;
  if (State_->EncodedMessage_ != Message) {
    State_->EncodedBytes_ = encodePeerMessage(*Message);
    State_->EncodedMessage_ = Message;
  }
  if (State_->Sockets_.queuedBytes(Link) + State_->EncodedBytes_.size() >
      State_->Settings_.MaxQueuedBytes_)
    return State_->close(Link, ResultCode::PeerUnreachable);
  State_->send(Link, State_->EncodedBytes_);
}

void PeerLinks::expireHandshakes(model::TimePoint Now) {
  std::vector<LinkId> Expired;
  for (const auto &[Id, Entry] : State_->Links_)
    if (!Entry.Open_ &&
        Now - Entry.StartedAt_ > State_->Settings_.HandshakeTimeout_)
      Expired.push_back(Id);
  for (const LinkId Id : Expired)
    State_->close(Id, ResultCode::PeerUnreachable);
}

void PeerLinks::stop() {
  State_->Stopped_ = true;
  State_->Sockets_.stopListening();
  std::vector<LinkId> Open;
  for (const auto &Entry : State_->Links_)
    Open.push_back(Entry.first);
  for (const LinkId Id : Open)
    State_->close(Id, ResultCode::Ok);
}

PeerLinkStats PeerLinks::stats() const { return State_->Stats_; }

} // namespace cumingauge::adapters

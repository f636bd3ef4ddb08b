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

constexpr std::size_t MaxHandshakeBytes = 4096;
/// Close codes of the range for private use carry the result code.
constexpr int CloseCodeBase = 4000;
constexpr int NormalClose = 1000;
// Standard close codes after a fault in what was sent.
constexpr int ProtocolErrorClose = 1002;
constexpr int InvalidPayloadClose = 1007;
constexpr int TooBigClose = 1009;

model::TimePoint now() { return std::chrono::steady_clock::now(); }

/// Bytes of a WebSocket frame around a payload.
std::size_t frameBytes(std::size_t Payload, bool Masked) {
  constexpr std::size_t ShortFrame = 126;
  constexpr std::size_t MediumFrame = 65536;
  const std::size_t Head =
      Payload < ShortFrame ? 2 : (Payload < MediumFrame ? 4 : 10);
  return Head + (Masked ? 4 : 0) + Payload;
}

/// The reason for which a connection was closed; PeerUnreachable when none was
/// given.
ResultCode reasonOfClose(int CloseCode) {
  if (CloseCode == TooBigClose)
    return ResultCode::PeerMessageTooLarge;
  if (CloseCode == ProtocolErrorClose || CloseCode == InvalidPayloadClose)
    return ResultCode::PeerMessageMalformed;
  const auto Code = static_cast<ResultCode>(CloseCode - CloseCodeBase);
  const bool Known =
      CloseCode > CloseCodeBase && model::nameOf(Code) != "Unnamed";
  return Known ? Code : ResultCode::PeerUnreachable;
}

int closeCodeOf(ResultCode Reason) {
  return Reason == ResultCode::Ok ? NormalClose
                                  : CloseCodeBase + static_cast<int>(Reason);
}

struct Link {
  LinkSide Side_ = LinkSide::Accepting;
  std::string RemoteHost_;
  std::uint16_t RemotePort_ = 0; ///< of an opening link
  std::shared_ptr<Handshake> Handshake_;
  model::TimePoint Since_;
  bool Open_ = false;
};

} // namespace

struct PeerLinksState : std::enable_shared_from_this<PeerLinksState> {
  PeerLinksState(boost::asio::io_context &Io, PeerLinksSettings Settings,
                 PeerLinkHandlers Handlers);

  WebSocketHandlers socketHandlers();
  void accepted(LinkId Id, const std::string &RemoteHost);
  void received(LinkId Id, const std::string &Bytes, bool Binary);
  void takeHandshake(LinkId Id, const std::string &Bytes);
  void takeMessage(LinkId Id, const std::string &Bytes);
  void follow(LinkId Id, const HandshakeStep &Step);
  void close(LinkId Id, ResultCode Reason);
  void ended(LinkId Id, ResultCode Reason);
  void send(LinkId Id, const std::string &Bytes);
  void post(std::function<void()> Later);
  Link *find(LinkId Id);

  boost::asio::io_context &Io_;
  PeerLinksSettings Settings_;
  const PeerLinkHandlers Handlers_;
  WebSockets Sockets_;
  std::unordered_map<LinkId, Link> Links_;
  std::uint16_t Port_ = 0;
  bool Stopped_ = false;
  unsigned Unproved_ = 0; ///< accepted links without a proved key
  PeerLinkFigures Figures_;
  RefusalLog Refusals_;
  /// The message that was encoded last; one message often goes to many links.
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
  Out.MayAccept_ = [this] {
    return !Stopped_ && Unproved_ < Settings_.MaxUnprovedLinks_;
  };
  Out.OnAccepted_ = [this](LinkId Id, const std::string &RemoteHost) {
    accepted(Id, RemoteHost);
  };
  Out.OnConnected_ = [this](LinkId Id) {
    if (Link *At = find(Id))
      follow(Id, beginHandshake(*At->Handshake_));
  };
  Out.OnBytes_ = [this](LinkId Id, const std::string &Bytes, bool Binary) {
    received(Id, Bytes, Binary);
  };
  Out.OnEnded_ = [this](LinkId Id, int CloseCode) {
    const ResultCode Reason = reasonOfClose(CloseCode);
    if (const Link *At = find(Id); At && Reason != ResultCode::PeerUnreachable)
      Refusals_.record(At->RemoteHost_, Reason, now());
    ended(Id, Reason);
  };
  return Out;
}

void PeerLinksState::accepted(LinkId Id, const std::string &RemoteHost) {
  Link &At = Links_[Id];
  At.RemoteHost_ = RemoteHost;
  At.Handshake_ =
      makeHandshake(LinkSide::Accepting, Settings_.Handshake_, makeNonce());
  At.Since_ = now();
  ++Unproved_;
}

void PeerLinksState::received(LinkId Id, const std::string &Bytes,
                              bool Binary) {
  Link *At = find(Id);
  if (!At)
    return;
  ++Figures_.MessagesReceived_;
  Figures_.BytesReceived_ +=
      frameBytes(Bytes.size(), At->Side_ == LinkSide::Accepting);
  if (!Binary)
    return close(Id, ResultCode::PeerMessageMalformed);
  if (At->Open_)
    takeMessage(Id, Bytes);
  else
    takeHandshake(Id, Bytes);
}

void PeerLinksState::takeHandshake(LinkId Id, const std::string &Bytes) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Message, decodeCbor<HandshakeMessage>(Bytes));
        follow(Id, advanceHandshake(*find(Id)->Handshake_, Message));
        return {};
      },
      [&](const PeerCodecError &Error) { close(Id, Error.Code_); },
      [&] { close(Id, ResultCode::PeerMessageMalformed); });
}

void PeerLinksState::takeMessage(LinkId Id, const std::string &Bytes) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Message, decodePeerMessage(Bytes));
        Handlers_.OnMessage_(Id, std::move(Message));
        return {};
      },
      [&](const PeerCodecError &Error) { close(Id, Error.Code_); },
      [&] { close(Id, ResultCode::PeerMessageMalformed); });
}

void PeerLinksState::follow(LinkId Id, const HandshakeStep &Step) {
  if (Step.Refused_ != ResultCode::Ok)
    return close(Id, Step.Refused_);
  if (Step.Send_)
    send(Id, encodeCbor(*Step.Send_));
  if (!Step.Open_)
    return;
  Link &At = *find(Id);
  At.Open_ = true;
  Sockets_.limitMessages(Id, MaxPeerMessageBytes);
  if (At.Side_ == LinkSide::Accepting)
    --Unproved_;
  ++Figures_.Links_;
  Handlers_.OnOpened_(
      {Id, peerOf(*At.Handshake_), isOperatorLink(*At.Handshake_),
       At.Side_ == LinkSide::Opening, At.RemoteHost_, At.RemotePort_});
}

void PeerLinksState::close(LinkId Id, ResultCode Reason) {
  Link *At = find(Id);
  if (!At)
    return;
  if (Reason != ResultCode::Ok)
    Refusals_.record(At->RemoteHost_, Reason, now());
  Sockets_.close(Id, closeCodeOf(Reason), std::string(model::nameOf(Reason)));
  post([this, Id, Reason] { ended(Id, Reason); });
}

void PeerLinksState::ended(LinkId Id, ResultCode Reason) {
  const auto Known = Links_.find(Id);
  if (Known == Links_.end())
    return;
  const Link At = std::move(Known->second);
  Links_.erase(Known);
  if (At.Open_) {
    --Figures_.Links_;
    Handlers_.OnClosed_(Id, Reason);
  } else if (At.Side_ == LinkSide::Accepting) {
    --Unproved_;
  } else {
    Handlers_.OnFailed_(At.RemoteHost_, At.RemotePort_, Reason);
  }
}

void PeerLinksState::send(LinkId Id, const std::string &Bytes) {
  Link *At = find(Id);
  if (!At || !Sockets_.send(Id, Bytes))
    return;
  ++Figures_.MessagesSent_;
  Figures_.BytesSent_ +=
      frameBytes(Bytes.size(), At->Side_ == LinkSide::Opening);
}

void PeerLinksState::post(std::function<void()> Later) {
  boost::asio::post(Io_, [Weak = weak_from_this(), Later = std::move(Later)] {
    if (const auto Self = Weak.lock())
      Later();
  });
}

Link *PeerLinksState::find(LinkId Id) {
  const auto Known = Links_.find(Id);
  return Known == Links_.end() ? nullptr : &Known->second;
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
  Link &At = State_->Links_[Id];
  At.Side_ = LinkSide::Opening;
  At.RemoteHost_ = Host;
  At.RemotePort_ = Port;
  At.Handshake_ = makeHandshake(LinkSide::Opening, State_->Settings_.Handshake_,
                                makeNonce());
  At.Since_ = now();
}

void PeerLinks::close(LinkId Link, ResultCode Reason) {
  State_->close(Link, Reason);
}

void PeerLinks::send(
    LinkId Link, const std::shared_ptr<const control::PeerMessage> &Message) {
  const auto *At = State_->find(Link);
  if (!At || !At->Open_)
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
  std::vector<LinkId> Late;
  for (const auto &[Id, At] : State_->Links_)
    if (!At.Open_ && Now - At.Since_ > State_->Settings_.HandshakeTimeout_)
      Late.push_back(Id);
  for (const LinkId Id : Late)
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

PeerLinkFigures PeerLinks::stats() const { return State_->Figures_; }

} // namespace cumingauge::adapters

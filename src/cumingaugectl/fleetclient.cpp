#include "fleetclient.h"
#include "adapters/peerlinks.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace cumingauge::ctl {

namespace {

using adapters::AddressSettings;
using control::LinkId;
using control::PeerMessage;
using model::ResultCode;

/// Entry processes that a committed entry is handed to.
constexpr std::size_t HandOverCount = 3;

using AddressKey = std::pair<std::string, std::uint16_t>;

adapters::PeerLinksSettings linkSettings(const CtlSettings &Settings) {
  adapters::PeerLinksSettings Out;
  Out.Handshake_.Key_ = Settings.Key_;
  Out.Handshake_.Operator_ = true;
  Out.Handshake_.Self_.Process_ = Settings.Author_;
  Out.HandshakeTimeout_ = Settings.PeerTimeout_;
  return Out;
}

/// Links to a changing set of entry processes, run until nothing is awaited
/// any more or the time is over.
class FleetSession {
public:
  explicit FleetSession(const CtlSettings &Settings)
      : Settings_(Settings), Links_(Io_, linkSettings(Settings), handlers()),
        Deadline_(Io_) {}

  void ask(const FleetQuestion &Question) {
    Question_ = Question;
    for (const AddressSettings &Address : Settings_.Peers_)
      contact(Address);
    run();
  }

  void give(const std::vector<model::Change> &Entries) {
    Entries_ = std::make_shared<PeerMessage>(control::Entries{Entries, {}});
    std::vector<AddressSettings> Chosen;
    std::sample(Settings_.Peers_.begin(), Settings_.Peers_.end(),
                std::back_inserter(Chosen), HandOverCount,
                std::mt19937(std::random_device{}()));
    for (const AddressSettings &Address : Chosen)
      contact(Address);
    run();
  }

  std::vector<ProcessReply> replies() const {
    std::vector<ProcessReply> Out;
    std::set<std::string> Answered;
    for (const auto &[Key, Reply] : Replies_)
      if (Reply.Status_)
        Answered.insert(Reply.Process_);
    // A process that has moved to another address is listed once.
    for (const auto &[Key, Reply] : Replies_)
      if (Reply.Status_ || !Answered.count(Reply.Process_))
        Out.push_back(Reply);
    std::sort(Out.begin(), Out.end(), [](const auto &Left, const auto &Right) {
      return std::tie(Left.Zone_, Left.Process_, Left.Address_.Port_) <
             std::tie(Right.Zone_, Right.Process_, Right.Address_.Port_);
    });
    return Out;
  }

private:
  adapters::PeerLinkHandlers handlers() {
    adapters::PeerLinkHandlers Out;
    Out.OnOpened_ = [this](const adapters::OpenedLink &Link) { opened(Link); };
    Out.OnMessage_ = [this](LinkId Link, const PeerMessage &Message) {
      received(Link, Message);
    };
    Out.OnClosed_ = [this](LinkId Link, ResultCode Code) {
      const auto Known = ByLink_.find(Link);
      if (Known != ByLink_.end())
        settle(Known->second, Code);
    };
    Out.OnFailed_ = [this](const std::string &Host, std::uint16_t Port,
                           ResultCode Code) {
      settle({Host, Port}, Code);
    };
    return Out;
  }

  void contact(const AddressSettings &Address) {
    const AddressKey Key{Address.Host_, Address.Port_};
    if (!Replies_.emplace(Key, ProcessReply{}).second)
      return;
    Replies_[Key].Address_ = Address;
    Awaited_.insert(Key);
    Links_.open(Address.Host_, Address.Port_);
  }

  void opened(const adapters::OpenedLink &Link) {
    const AddressKey Key{Link.Host_, Link.Port_};
    ByLink_[Link.Link_] = Key;
    Replies_[Key].Process_ = Link.Peer_.Process_;
    Replies_[Key].Zone_ = Link.Peer_.Zone_;
    if (Entries_)
      Links_.send(Link.Link_, Entries_);
    Links_.send(Link.Link_, std::make_shared<PeerMessage>(
                                control::StatusRequest{!Entries_}));
    if (Question_.WithEvents_)
      Links_.send(Link.Link_,
                  std::make_shared<PeerMessage>(
                      control::TimelineRequest{Question_.EventsSinceMs_}));
  }

  void received(LinkId Link, const PeerMessage &Message) {
    const auto Known = ByLink_.find(Link);
    if (Known == ByLink_.end())
      return;
    ProcessReply &Reply = Replies_[Known->second];
    if (const auto *Status = std::get_if<control::StatusReply>(&Message)) {
      Reply.Status_ = Status->Status_;
      for (const model::Member &Member : Status->Status_.Members_)
        learn(Member);
      if (!Question_.WithEvents_)
        settle(Known->second, ResultCode::Ok);
    }
    if (const auto *Events = std::get_if<control::TimelineReply>(&Message)) {
      Reply.Events_ = Events->Events_;
      Reply.DroppedEvents_ = Events->Dropped_;
      settle(Known->second, ResultCode::Ok);
    }
  }

  void learn(const model::Member &Member) {
    if (Member.Status_ == model::MemberStatus::Dead ||
        Member.Status_ == model::MemberStatus::Left || Member.Port_ == 0)
      return;
    contact({Member.Host_, Member.Port_});
    ProcessReply &Reply = Replies_[{Member.Host_, Member.Port_}];
    if (Reply.Process_.empty()) {
      Reply.Process_ = Member.Process_;
      Reply.Zone_ = Member.Zone_;
    }
  }

  void settle(const AddressKey &Key, ResultCode Code) {
    if (Awaited_.erase(Key) > 0)
      Replies_[Key].Code_ = Code;
    if (Awaited_.empty())
      Io_.stop();
  }

  void run() {
    if (Awaited_.empty())
      return;
    Deadline_.expires_after(Settings_.PeerTimeout_);
    Deadline_.async_wait(
        [this](const boost::system::error_code &) { Io_.stop(); });
    Io_.run();
  }

  const CtlSettings &Settings_;
  boost::asio::io_context Io_{1};
  adapters::PeerLinks Links_;
  boost::asio::steady_timer Deadline_;
  FleetQuestion Question_;
  std::shared_ptr<const PeerMessage> Entries_;
  std::map<AddressKey, ProcessReply> Replies_;
  std::map<LinkId, AddressKey> ByLink_;
  std::set<AddressKey> Awaited_;
};

} // namespace

std::vector<ProcessReply> askFleet(const CtlSettings &Settings,
                                   const FleetQuestion &Question) {
  FleetSession Session(Settings);
  Session.ask(Question);
  return Session.replies();
}

unsigned handOver(const CtlSettings &Settings,
                  const std::vector<model::Change> &Entries) {
  if (Entries.empty())
    return 0;
  FleetSession Session(Settings);
  Session.give(Entries);
  const std::uint64_t Version = Entries.back().Version_;
  const std::vector<ProcessReply> Replies = Session.replies();
  return static_cast<unsigned>(std::count_if(
      Replies.begin(), Replies.end(), [&](const ProcessReply &Reply) {
        return Reply.Status_ && Reply.Status_->Version_ >= Version;
      }));
}

} // namespace cumingauge::ctl

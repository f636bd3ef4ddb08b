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

/// Number of entry processes that a committed entry is sent to.
constexpr std::size_t PushTargetCount = 3;

using AddressKey = std::pair<std::string, std::uint16_t>;

adapters::PeerLinksSettings linkSettings(const CtlSettings &Settings) {
  adapters::PeerLinksSettings Out;
  Out.Handshake_.Key_ = Settings.Key_;
  Out.Handshake_.Operator_ = true;
  Out.Handshake_.Self_.Process_ = Settings.Author_;
  Out.HandshakeTimeout_ = Settings.PeerTimeout_;
  return Out;
}

/// Opens links to entry processes and collects their replies. Runs until no
/// reply is pending or CtlSettings::PeerTimeout_ has passed.
class FleetSession {
public:
  explicit FleetSession(const CtlSettings &Settings)
      : Settings_(Settings), Links_(Io_, linkSettings(Settings), handlers()),
        Deadline_(Io_) {}

  void query(const FleetQuery &Query) {
    Query_ = Query;
    for (const AddressSettings &Address : Settings_.Peers_)
      openLinkOnce(Address);
    run();
  }

  void push(const std::vector<model::Change> &Entries) {
    Entries_ = std::make_shared<PeerMessage>(control::Entries{Entries, {}});
    std::vector<AddressSettings> Chosen;
    std::sample(Settings_.Peers_.begin(), Settings_.Peers_.end(),
                std::back_inserter(Chosen), PushTargetCount,
                std::mt19937(std::random_device{}()));
    for (const AddressSettings &Address : Chosen)
      openLinkOnce(Address);
    run();
  }

  std::vector<ProcessReply> replies() const {
    std::vector<ProcessReply> Out;
    std::set<std::string> Answered;
    for (const auto &[Key, Reply] : Replies_)
      if (Reply.Status_)
        Answered.insert(Reply.Process_);
    // A process that was reached at one address is not listed again as
    // unreachable at an earlier address.
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
    Out.OnOpened_ = [this](const adapters::OpenedLink &Link) {
      handleOpened(Link);
    };
    Out.OnMessage_ = [this](LinkId Link, const PeerMessage &Message) {
      handleMessage(Link, Message);
    };
    Out.OnClosed_ = [this](LinkId Link, ResultCode Code) {
      const auto Known = ByLink_.find(Link);
      if (Known != ByLink_.end())
        finishReply(Known->second, Code);
    };
    Out.OnFailed_ = [this](const std::string &Host, std::uint16_t Port,
                           ResultCode Code) {
      finishReply({Host, Port}, Code);
    };
    return Out;
  }

  void openLinkOnce(const AddressSettings &Address) {
    const AddressKey Key{Address.Host_, Address.Port_};
    if (!Replies_.emplace(Key, ProcessReply{}).second)
      return;
    Replies_[Key].Address_ = Address;
    Pending_.insert(Key);
    Links_.open(Address.Host_, Address.Port_);
  }

  void handleOpened(const adapters::OpenedLink &Link) {
    const AddressKey Key{Link.Host_, Link.Port_};
    ByLink_[Link.Link_] = Key;
    Replies_[Key].Process_ = Link.Peer_.Process_;
    Replies_[Key].Zone_ = Link.Peer_.Zone_;
    if (Entries_)
      Links_.send(Link.Link_, Entries_);
    Links_.send(Link.Link_, std::make_shared<PeerMessage>(
                                control::StatusRequest{!Entries_}));
    if (Query_.WithEvents_)
      Links_.send(Link.Link_,
                  std::make_shared<PeerMessage>(
                      control::TimelineRequest{Query_.EventsSinceMs_}));
  }

  void handleMessage(LinkId Link, const PeerMessage &Message) {
    const auto Known = ByLink_.find(Link);
    if (Known == ByLink_.end())
      return;
    ProcessReply &Reply = Replies_[Known->second];
    if (const auto *Status = std::get_if<control::StatusReply>(&Message)) {
      Reply.Status_ = Status->Status_;
      for (const model::Member &Member : Status->Status_.Members_)
        addMember(Member);
      if (!Query_.WithEvents_)
        finishReply(Known->second, ResultCode::Ok);
    }
    if (const auto *Events = std::get_if<control::TimelineReply>(&Message)) {
      Reply.Events_ = Events->Events_;
      Reply.DroppedEvents_ = Events->Dropped_;
      finishReply(Known->second, ResultCode::Ok);
    }
  }

  void addMember(const model::Member &Member) {
    if (Member.Status_ == model::MemberStatus::Dead ||
        Member.Status_ == model::MemberStatus::Left || Member.Port_ == 0)
      return;
    openLinkOnce({Member.Host_, Member.Port_});
    ProcessReply &Reply = Replies_[{Member.Host_, Member.Port_}];
    if (Reply.Process_.empty()) {
      Reply.Process_ = Member.Process_;
      Reply.Zone_ = Member.Zone_;
    }
  }

  void finishReply(const AddressKey &Key, ResultCode Code) {
    if (Pending_.erase(Key) > 0)
      Replies_[Key].Code_ = Code;
    if (Pending_.empty())
      Io_.stop();
  }

  void run() {
    if (Pending_.empty())
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
  FleetQuery Query_;
  std::shared_ptr<const PeerMessage> Entries_;
  std::map<AddressKey, ProcessReply> Replies_;
  std::map<LinkId, AddressKey> ByLink_;
  std::set<AddressKey> Pending_;
};

} // namespace

std::vector<ProcessReply> queryFleet(const CtlSettings &Settings,
                                     const FleetQuery &Query) {
  FleetSession Session(Settings);
  Session.query(Query);
  return Session.replies();
}

unsigned pushEntries(const CtlSettings &Settings,
                     const std::vector<model::Change> &Entries) {
  if (Entries.empty())
    return 0;
  FleetSession Session(Settings);
  Session.push(Entries);
  const std::uint64_t Version = Entries.back().Version_;
  const std::vector<ProcessReply> Replies = Session.replies();
  return static_cast<unsigned>(std::count_if(
      Replies.begin(), Replies.end(), [&](const ProcessReply &Reply) {
        return Reply.Status_ && Reply.Status_->Version_ >= Version;
      }));
}

} // namespace cumingauge::ctl

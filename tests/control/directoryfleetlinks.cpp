#include "adapters/peercodec.h"
#include "control/directoryfleet.h"
#include <algorithm>
#include <chrono>

/// Links between the processes of a DirectoryFleet.
namespace cumingauge::control::fakes {

void DirectoryFleet::kill(unsigned Number) {
  Dead_.insert(Number);
  // A new start gives out the ids of its calls again.
  const auto IsOfProcess = [&](const auto &Call) {
    return Call.Process_ == Number;
  };
  Watches_.erase(std::remove_if(Watches_.begin(), Watches_.end(), IsOfProcess),
                 Watches_.end());
  Delayed_.erase(std::remove_if(Delayed_.begin(), Delayed_.end(), IsOfProcess),
                 Delayed_.end());
  Kept_.erase(Number);
  std::vector<std::pair<LinkId, unsigned>> Closed;
  for (auto It = Links_.begin(); It != Links_.end();) {
    const auto [From, To] = It->second;
    if (From != Number && To != Number) {
      ++It;
      continue;
    }
    Closed.emplace_back(It->first, From == Number ? To : From);
    It = Links_.erase(It);
  }
  if (!ResetsLinks_)
    return;
  for (const auto &[Id, Peer] : Closed)
    if (!Dead_.count(Peer))
      feed(Peer, LinkClosed{Id});
}

void DirectoryFleet::execute(unsigned Number, const OpenLink &Command) {
  for (unsigned To = 0; To < size(); ++To) {
    if (memberOf(To).Host_ != Command.Host_)
      continue;
    if (Dead_.count(To) || RefusesLinks_)
      return feed(Number, LinkFailed{Command.Host_, Command.Port_});
    const LinkId Id = ++LastLink_;
    Links_[Id] = {Number, To};
    feed(To, LinkOpened{Id, memberOf(Number), false, false});
    feed(Number, LinkOpened{Id, memberOf(To), false, true});
  }
}

void DirectoryFleet::execute(unsigned Number, const SendPeer &Command) {
  const auto Found = Links_.find(Command.Link_);
  if (Found == Links_.end())
    return;
  const auto [From, To] = Found->second;
  const unsigned Receiver = Number == From ? To : From;
  const auto Uplink = Uplinks_.find(Number);
  if (Uplink == Uplinks_.end())
    return feed(Receiver,
                PeerMessageReceived{Command.Link_, *Command.Message_});
  const std::size_t Bytes =
      adapters::encodePeerMessage(*Command.Message_).size();
  model::TimePoint &FreeAt = Uplink->second.FreeAt_;
  FreeAt = std::max(FreeAt, Now_) +
           std::chrono::nanoseconds(std::chrono::seconds(1)) * Bytes /
               Uplink->second.BytesPerSecond_;
  Travelling_.push_back({FreeAt, Receiver, {Command.Link_, *Command.Message_}});
}

void DirectoryFleet::setUplink(unsigned Number, unsigned BytesPerSecond) {
  Uplinks_[Number] = {BytesPerSecond, Now_};
}

void DirectoryFleet::deliverTravelled() {
  std::vector<TravellingMessage> Due;
  std::vector<TravellingMessage> Later;
  for (TravellingMessage &Message : std::exchange(Travelling_, {}))
    (Message.At_ <= Now_ ? Due : Later).push_back(std::move(Message));
  Travelling_ = std::move(Later);
  for (const TravellingMessage &Message : Due)
    if (Links_.count(Message.Received_.Link_))
      feed(Message.Receiver_, Message.Received_);
}

void DirectoryFleet::deliverKept() {
  for (auto &[Number, Inputs] : Kept_) {
    if (Paused_.count(Number))
      continue;
    for (const CoreInput &Input : std::exchange(Inputs, {}))
      feed(Number, Input);
  }
}

void DirectoryFleet::execute(unsigned Number, const CloseLink &Command) {
  const auto Found = Links_.find(Command.Link_);
  if (Found == Links_.end())
    return;
  const auto [From, To] = Found->second;
  Links_.erase(Found);
  feed(Number == From ? To : From, LinkClosed{Command.Link_});
  feed(Number, LinkClosed{Command.Link_});
}

} // namespace cumingauge::control::fakes

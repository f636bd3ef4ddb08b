#include "control/corestate.h"
#include <algorithm>

namespace cumingauge::control {

void emitCommand(CoreState &State, CoreCommand Command) {
  State.Commands_.push_back(std::move(Command));
}

void record(CoreState &State, model::EventKind Kind, std::string Subject,
            std::uint64_t Version, model::ResultCode Reason,
            std::string Detail) {
  emitCommand(State, RecordEvent{Kind, std::move(Subject), Version, Reason,
                                 std::move(Detail)});
}

StoreCallId callStore(CoreState &State, ports::StoreRequest Request) {
  const StoreCallId Call = ++State.LastCall_;
  emitCommand(State, CallStore{Call, std::move(Request)});
  return Call;
}

void send(CoreState &State, const Link &To, PeerMessage Message) {
  emitCommand(State, SendPeer{To.Id_, std::make_shared<const PeerMessage>(
                                          std::move(Message))});
}

model::Duration jittered(CoreState &State, model::Duration Period) {
  constexpr std::uint32_t Steps = 1000;
  const std::uint32_t Draw = State.Random_(Steps);
  return Period * 3 / 4 + Period * Draw / (2 * Steps);
}

bool isDue(const std::optional<model::TimePoint> &Last,
           model::Duration Interval, model::TimePoint Now) {
  return !Last || Now - *Last >= Interval;
}

std::uint64_t versionOf(const CoreState &State) {
  return State.Log_.State_->Version_;
}

std::uint32_t shortDigest(std::uint64_t Digest) {
  return static_cast<std::uint32_t>(Digest);
}

std::vector<const model::Member *> livePeers(const CoreState &State) {
  std::vector<const model::Member *> Out = liveMembers(State.Members_);
  Out.erase(std::remove_if(Out.begin(), Out.end(),
                           [&](const model::Member *Peer) {
                             return Peer->Process_ == State.Members_.Self_;
                           }),
            Out.end());
  return Out;
}

unsigned fleetSize(const CoreState &State) {
  const auto Live = static_cast<unsigned>(liveMembers(State.Members_).size());
  return std::max({1U, Live, listedEntryVms(State)});
}

} // namespace cumingauge::control

// Store calls and links of the fake fleet.
#include "fakefleet.h"
#include <algorithm>

namespace cumingauge::fakes {

using namespace control;
using model::milliseconds;

namespace {

constexpr milliseconds LinkLatency{1};
constexpr milliseconds ConnectTimeout{1000};

} // namespace

void FakeFleet::callStore(unsigned Index, const CallStore &Command) {
  ++StoreCalls_;
  const unsigned Generation = Processes_[Index].Generation_;
  const auto Answer = [this, Index, Generation, Call = Command.Call_](
                          const ports::StoreResponse &Response) {
    respondFromStore(Index, Generation, Call, Response);
  };
  ports::StoreResponse Failure;
  if (!reachesStore(Index) || chance(Faults_.RefuseCall_)) {
    const bool IsSlow = chance(50);
    Failure.Code_ = IsSlow ? model::ResultCode::StoreTimeout
                           : model::ResultCode::StoreUnavailable;
    runAfter(IsSlow ? LostAnswerTimeout : StoreLatency,
             [Answer, Failure] { Answer(Failure); });
    return;
  }
  if (Command.Request_.Operation_ == ports::StoreOperation::Watch) {
    startWatch(Index, Generation, Command);
    return;
  }
  Failure.Code_ = model::ResultCode::StoreTimeout;
  if (chance(Faults_.ApplyLate_)) {
    runAfter(milliseconds(500 + Random_(8000)),
             [this, Request = Command.Request_] { Store_.execute(Request); });
    runAfter(LostAnswerTimeout, [Answer, Failure] { Answer(Failure); });
    return;
  }
  const bool IsLost = chance(Faults_.LoseAnswer_);
  runAfter(StoreLatency, [this, Request = Command.Request_, Answer, Failure,
                          IsLost] {
    const ports::StoreResponse Response = Store_.execute(Request);
    if (IsLost)
      runAfter(LostAnswerTimeout, [Answer, Failure] { Answer(Failure); });
    else
      runAfter(StoreLatency, [Answer, Response] { Answer(Response); });
  });
}

void FakeFleet::respondFromStore(unsigned Index, unsigned Generation,
                                 StoreCallId Call,
                                 const ports::StoreResponse &Answer) {
  if (Processes_[Index].Generation_ == Generation)
    feed(Index, StoreResponseReceived{Call, Answer});
}

void FakeFleet::startWatch(unsigned Index, unsigned Generation,
                           const CallStore &Command) {
  runAfter(StoreLatency, [this, Index, Generation, Command] {
    Watches_.push_back(
        {Command.Request_.Key_, Index, Generation, Command.Call_});
    if (Store_.execute(Command.Request_).Found_)
      answerWatches(Command.Request_.Key_);
  });
  runAfter(Command.Request_.Wait_ + StoreLatency * 2, [this, Index, Generation,
                                                       Command] {
    const auto Found =
        std::find_if(Watches_.begin(), Watches_.end(), [&](const Watch &Value) {
          return Value.Process_ == Index && Value.Generation_ == Generation &&
                 Value.Call_ == Command.Call_;
        });
    if (Found == Watches_.end())
      return;
    Watches_.erase(Found);
    ports::StoreResponse Response;
    if (!reachesStore(Index))
      Response.Code_ = model::ResultCode::StoreTimeout;
    respondFromStore(Index, Generation, Command.Call_, Response);
  });
}

void FakeFleet::answerWatches(const std::string &Key) {
  std::vector<Watch> Ready;
  for (auto It = Watches_.begin(); It != Watches_.end();) {
    if (It->Key_ != Key || !reachesStore(It->Process_)) {
      ++It;
      continue;
    }
    Ready.push_back(*It);
    It = Watches_.erase(It);
  }
  ports::StoreRequest Request;
  Request.Key_ = Key;
  for (const Watch &Value : Ready)
    runAfter(StoreLatency, [this, Value, Response = Store_.execute(Request)] {
      respondFromStore(Value.Process_, Value.Generation_, Value.Call_,
                       Response);
    });
}

void FakeFleet::openLink(unsigned Index, const OpenLink &Command) {
  const unsigned Target = Command.Port_ - FirstPort;
  const unsigned Generation = Processes_[Index].Generation_;
  const bool IsSilent =
      !areConnected(Index, Target) || Processes_[Target].IsPaused_;
  runAfter(IsSilent ? ConnectTimeout : LinkLatency, [this, Index, Generation,
                                                     Target, IsSilent,
                                                     Command] {
    if (Processes_[Index].Generation_ != Generation || !Processes_[Index].Core_)
      return;
    if (IsSilent || !Processes_[Target].Core_) {
      feed(Index, LinkFailed{Command.Host_, Command.Port_});
      return;
    }
    const LinkId Own = ++LastLink_;
    const LinkId Other = ++LastLink_;
    Links_[Own] = {Index, Generation, Other};
    Links_[Other] = {Target, Processes_[Target].Generation_, Own};
    feed(Index,
         LinkOpened{Own, Processes_[Target].Settings_.Self_, false, true});
    feed(Target,
         LinkOpened{Other, Processes_[Index].Settings_.Self_, false, false});
  });
}

void FakeFleet::closeLink(unsigned Index, LinkId Id) {
  const auto Own = Links_.find(Id);
  if (Own == Links_.end())
    return;
  const LinkId Other = Own->second.Other_;
  Links_.erase(Own);
  const auto End = Links_.find(Other);
  if (End == Links_.end())
    return;
  const LinkEnd Value = End->second;
  if (!areConnected(Index, Value.Process_))
    return; // the other end is not told, as in a real partition
  Links_.erase(End);
  runAfter(LinkLatency, [this, Value, Other] {
    if (Processes_[Value.Process_].Generation_ == Value.Generation_)
      feed(Value.Process_, LinkClosed{Other});
  });
}

void FakeFleet::sendPeer(unsigned Index, const SendPeer &Command) {
  ++Messages_;
  const auto Own = Links_.find(Command.Link_);
  if (Own == Links_.end())
    return;
  const LinkId Other = Own->second.Other_;
  const auto End = Links_.find(Other);
  if (End == Links_.end() || !areConnected(Index, End->second.Process_) ||
      chance(Faults_.DropMessage_))
    return;
  const unsigned Copies = chance(Faults_.RepeatMessage_) ? 2 : 1;
  for (unsigned I = 0; I < Copies; ++I) {
    const milliseconds Extra{chance(Faults_.DelayMessage_) ? Random_(400) : 0};
    runAfter(LinkLatency + Extra,
             [this, Value = End->second, Other, Message = Command.Message_] {
               if (Processes_[Value.Process_].Generation_ == Value.Generation_)
                 feed(Value.Process_, PeerMessageReceived{Other, *Message});
             });
  }
}

} // namespace cumingauge::fakes

#include "control/directoryprocess.h"
#include <cppunit/TestAssert.h>

namespace cumingauge::control::fakes {

using ports::DirectoryOperation;
using ports::DirectoryTopic;

DirectoryProcess::DirectoryProcess() {
  CoreSettings Settings;
  Settings.Self_.Process_ = "front-1";
  Settings.Self_.Zone_ = "milano-a";
  Settings.FollowsDirectory_ = true;
  Core_ = makeCore(Settings, 1);
  feed(Started{});
  answer(DirectoryTopic::Members, {}); // the list
  answer(DirectoryTopic::Members, {}); // the announcement
}

void DirectoryProcess::feed(const CoreInput &Input) {
  for (const CoreCommand &Command : step(*Core_, Input, Now_)) {
    Commands_.push_back(Command);
    if (const auto *Call = std::get_if<CallDirectory>(&Command))
      Calls_.push_back(*Call);
    else if (const auto *View = std::get_if<PublishView>(&Command))
      View_ = View->View_;
    else if (const auto *Event = std::get_if<RecordEvent>(&Command))
      Events_.push_back(*Event);
    else if (const auto *Sent = std::get_if<SendPeer>(&Command))
      if (const auto *News = std::get_if<DirectoryUpdate>(Sent->Message_.get()))
        Updates_.push_back(*News);
  }
}

void DirectoryProcess::wait(model::milliseconds Time) {
  const model::TimePoint End = Now_ + Time;
  while (Now_ < End) {
    Now_ += model::milliseconds(50);
    feed(Ticked{});
  }
}

void DirectoryProcess::waitUnchanged(model::milliseconds Time) {
  for (const model::TimePoint End = Now_ + Time; Now_ < End;) {
    wait(model::milliseconds(50));
    answerChecks();
  }
}

const CallDirectory *DirectoryProcess::nextPoll() {
  for (int I = 0; I < 40 && !poll(); ++I)
    wait(model::milliseconds(50));
  return poll();
}

void DirectoryProcess::sleep(model::milliseconds Time) {
  Now_ += Time;
  feed(Ticked{});
}

const CallDirectory *DirectoryProcess::call(DirectoryTopic Topic) const {
  return findCall([&](const ports::DirectoryRequest &Request) {
    return Request.Operation_ != DirectoryOperation::Ping &&
           Request.Operation_ != DirectoryOperation::Poll &&
           Request.Topic_ == Topic;
  });
}

const CallDirectory *DirectoryProcess::poll() const {
  return findCall([](const ports::DirectoryRequest &Request) {
    return Request.Operation_ == DirectoryOperation::Poll;
  });
}

const CallDirectory *DirectoryProcess::ping() const {
  return findCall([](const ports::DirectoryRequest &Request) {
    return Request.Operation_ == DirectoryOperation::Ping;
  });
}

void DirectoryProcess::answer(DirectoryTopic Topic,
                              ports::DirectoryResponse Response) {
  answer(call(Topic), std::move(Response));
}

void DirectoryProcess::answer(const CallDirectory *Call,
                              ports::DirectoryResponse Response) {
  CPPUNIT_ASSERT_MESSAGE("no call to answer", Call != nullptr);
  Answered_.insert(Call->Call_);
  feed(DirectoryResponseReceived{Call->Call_, std::move(Response)});
}

void DirectoryProcess::answerChecks() {
  while (const CallDirectory *Ping = ping())
    answer(Ping, {});
  while (const CallDirectory *Poll = poll()) {
    ports::DirectoryResponse Unchanged;
    Unchanged.Revision_ = Poll->Request_.After_;
    answer(Poll, Unchanged);
  }
}

std::vector<RecordEvent> DirectoryProcess::events(model::EventKind Kind) const {
  std::vector<RecordEvent> Out;
  for (const RecordEvent &Event : Events_)
    if (Event.Kind_ == Kind)
      Out.push_back(Event);
  return Out;
}

bool DirectoryProcess::isListed(const std::string &Name) const {
  return View_ && View_->Config_->Servers_.count(Name) > 0;
}

bool DirectoryProcess::isLeaving(const std::string &Name) const {
  return View_ && View_->LeavingServers_.count(Name) > 0;
}

ports::DirectoryResponse configuration(std::uint64_t Version,
                                       std::uint64_t Revision) {
  ports::DirectoryResponse Out;
  Out.Revision_ = Revision;
  Out.Configuration_.emplace();
  Out.Configuration_->Version_ = Version;
  Out.Configuration_->Preset_.Name_ = "version " + std::to_string(Version);
  return Out;
}

ports::DirectoryResponse servers(const std::vector<ports::ServerEntry> &Entries,
                                 std::uint64_t Revision) {
  ports::DirectoryResponse Out;
  Out.Revision_ = Revision;
  Out.Servers_ = Entries;
  return Out;
}

ports::DirectoryResponse ofEra(std::uint64_t Era,
                               ports::DirectoryResponse Response) {
  Response.Era_ = Era;
  return Response;
}

ports::DirectoryResponse failure() {
  ports::DirectoryResponse Out;
  Out.Code_ = model::ResultCode::StoreUnavailable;
  return Out;
}

ports::DirectoryResponse compacted() {
  ports::DirectoryResponse Out;
  Out.IsCompacted_ = true;
  return Out;
}

DirectoryProcess makeSettledProcess() {
  DirectoryProcess Out;
  Out.answer(DirectoryTopic::Configuration, configuration(5, 10));
  Out.answer(DirectoryTopic::Servers,
             servers({listed("a"), listed("b"), listed("c")}, 10));
  Out.waitUnchanged(model::seconds(2));
  return Out;
}

} // namespace cumingauge::control::fakes

#include "control/directoryprocess.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;

namespace {

constexpr LinkId ToReader = 1;
constexpr LinkId FromSubscriber = 2;

model::Member memberNamed(const std::string &Process) {
  model::Member Out;
  Out.Process_ = Process;
  Out.Host_ = Process;
  return Out;
}

/// Returns the messages of a kind that a process has sent on a link since the
/// last call.
template <class T>
std::vector<T> takeSent(DirectoryProcess &Process, LinkId Link) {
  std::vector<T> Out;
  for (const CoreCommand &Command : Process.takeCommands())
    if (const auto *Sent = std::get_if<SendPeer>(&Command);
        Sent && Sent->Link_ == Link)
      if (const auto *Message = std::get_if<T>(Sent->Message_.get()))
        Out.push_back(*Message);
  return Out;
}

void receive(DirectoryProcess &Process, LinkId Link, PeerMessage Message) {
  Process.feed(PeerMessageReceived{Link, std::move(Message)});
}

/// Returns a process that knows version 5 and the servers a, b and c at
/// revision 10, and has subscribed to a reader.
DirectoryProcess makeSubscribed() {
  DirectoryProcess Out = makeSettledProcess();
  Out.feed(LinkOpened{ToReader, memberNamed("reader"), false, true});
  return Out;
}

/// Returns an update without changes that answers a process's subscription,
/// confirmed at the moment at which the reader received it.
DirectoryUpdate answerTo(DirectoryProcess &Process) {
  DirectoryUpdate Out;
  Out.Number_ = 1;
  Out.Asked_ = takeSent<DirectorySubscription>(Process, ToReader).at(0).Asked_;
  Out.After_ = Out.Revision_ = Out.ZonesRevision_ = 10;
  Out.Version_ = 5;
  return Out;
}

class UpdateOfAReader : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpdateOfAReader);
  CPPUNIT_TEST(isAsOldAsTheQuestionHoweverLateItComes);
  CPPUNIT_TEST(confirmsNothingWithoutAQuestion);
  CPPUNIT_TEST(confirmsNoConfigurationWithoutItsPreset);
  CPPUNIT_TEST(isInForceHereBeforeItIsPassedOn);
  CPPUNIT_TEST_SUITE_END();

public:
  void isAsOldAsTheQuestionHoweverLateItComes() {
    DirectoryProcess Process = makeSubscribed();
    const model::TimePoint Asked = Process.now();
    DirectoryUpdate Late = answerTo(Process);
    Late.VersionConfirmedMs_ = 40; // after the reader received the question
    Process.wait(model::milliseconds(900));
    receive(Process, ToReader, Late);
    CPPUNIT_ASSERT(Asked + model::milliseconds(40) ==
                   Process.configuration().ConfirmedAt_);
  }

  void confirmsNothingWithoutAQuestion() {
    DirectoryProcess Process = makeSubscribed();
    DirectoryUpdate Unasked = answerTo(Process);
    const model::TimePoint Before = Process.configuration().ConfirmedAt_;
    Process.wait(model::milliseconds(500));
    Unasked.Asked_.reset();
    receive(Process, ToReader, Unasked);
    // Nor does one that names a question which was never sent.
    Unasked.Asked_ =
        static_cast<std::uint64_t>(Process.now().time_since_epoch().count());
    receive(Process, ToReader, Unasked);
    CPPUNIT_ASSERT(Before == Process.configuration().ConfirmedAt_);
  }

  void confirmsNoConfigurationWithoutItsPreset() {
    DirectoryProcess Process = makeSubscribed();
    DirectoryUpdate Incomplete = answerTo(Process);
    const model::TimePoint Before = Process.configuration().ConfirmedAt_;
    Incomplete.Version_ = 6;
    Incomplete.VersionConfirmedMs_ = Incomplete.ConfirmedMs_ = 10;
    Incomplete.Revision_ = 11;
    Incomplete.Servers_ = {{"a", std::nullopt, false, std::nullopt}};
    receive(Process, ToReader, Incomplete);
    CPPUNIT_ASSERT(Before == Process.configuration().ConfirmedAt_);
    CPPUNIT_ASSERT(!Process.isListed("a")); // what it does tell is taken
    // The preset is asked for.
    const auto Sent = takeSent<DirectorySubscription>(Process, ToReader);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Sent.at(0).Version_);
  }

  void isInForceHereBeforeItIsPassedOn() {
    DirectoryProcess Process = makeSubscribed();
    DirectoryUpdate Next = answerTo(Process);
    Process.feed(
        LinkOpened{FromSubscriber, memberNamed("other"), false, false});
    receive(Process, FromSubscriber, DirectorySubscription{});
    Process.takeCommands();
    Next.Version_ = 6;
    Next.Preset_.emplace();
    receive(Process, ToReader, Next);
    const std::vector<CoreCommand> Commands = Process.takeCommands();
    const auto Published = std::find_if(
        Commands.begin(), Commands.end(), [](const CoreCommand &Command) {
          return std::holds_alternative<PublishView>(Command);
        });
    const auto Sent = std::find_if(
        Commands.begin(), Commands.end(), [](const CoreCommand &Command) {
          return std::holds_alternative<SendPeer>(Command);
        });
    CPPUNIT_ASSERT(Sent != Commands.end());
    CPPUNIT_ASSERT(Published < Sent);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UpdateOfAReader);

} // namespace

#include "adapters/controlruntime.h"
#include "adapters/httpanswerreader.h"
#include "adapters/peercodec.h"
#include "codec/describedjson.h"
#include "control/storecodec.h"
#include "mutation.h"
#include "support/piecewisereader.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

using namespace cumingauge;
using adapters::ReadStep;

namespace {

model::Preset samplePreset() {
  model::Preset Out;
  Out.Name_ = "ordinary";
  Out.Summary_ = "Weekdays";
  Out.Routes_ = {{"search", "/catalogue/search", "catalogue", true,
                  model::Priority::Urgent, model::milliseconds(300), 4096},
                 {"licence", "/catalogue/licence", "catalogue"}};
  return Out;
}

model::Change sampleChange(const model::ChangeAction &Action) {
  model::Change Out;
  Out.Id_ = "c-1";
  Out.Author_ = "anna";
  Out.Version_ = 7;
  Out.AcceptedAtMs_ = 1796369163656;
  Out.Action_ = Action;
  return Out;
}

std::vector<model::Change> sampleChanges() {
  const model::BackendServer Server{"rights-1",  "vm-r1", "rights", "milano-a",
                                    "127.0.0.1", 9001,    3};
  return {sampleChange(model::PutPreset{samplePreset()}),
          sampleChange(model::ChoosePreset{"ordinary"}),
          sampleChange(model::PutServers{{Server, Server}}),
          sampleChange(model::MarkLeaving{"rights-1", "vm-r1"}),
          sampleChange(model::RemoveServer{"rights-1"})};
}

std::vector<std::string> sampleMessages() {
  control::MemberUpdate News;
  News.Members_ = {{"entry-1", 1, "milano-a", "nord-italia", "127.0.0.1", 41001,
                    model::MemberStatus::Suspected}};
  control::StatusReply Status;
  Status.Status_.Servers_ = {{"rights-1", "vm-r1", 2, 3, true}};
  Status.Status_.Members_ = News.Members_;
  control::TimelineReply Events;
  Events.Events_ = {{{1796369163656, 3},
                     "entry-1",
                     model::EventKind::PauseFound,
                     "entry-1",
                     7,
                     model::ResultCode::Ok,
                     "1200 ms"}};
  control::Entries Entries;
  Entries.Changes_ = sampleChanges();
  std::vector<std::string> Out;
  for (const control::PeerMessage &Message :
       {control::PeerMessage(News), control::PeerMessage(Status),
        control::PeerMessage(Events), control::PeerMessage(Entries),
        control::PeerMessage(control::Heartbeat{}),
        control::PeerMessage(control::StateChunk{7, 0, 2, "bytes"}),
        control::PeerMessage(
            control::ServerReports{{{"rights-1", "vm-r1", {}}}})})
    Out.push_back(adapters::encodePeerMessage(Message));
  return Out;
}

adapters::ControlSettings sampleSettings() {
  adapters::ControlSettings Out;
  Out.Process_ = "entry-1";
  Out.Zone_ = "milano-a";
  Out.Key_ = "a key of the whole fleet";
  Out.SeedPeers_ = {{"127.0.0.1", 41001}, {"127.0.0.1", 41002}};
  return Out;
}

std::vector<std::string> sampleAnswers() {
  const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  return {Head + "Content-Length: 5\r\n\r\nhello",
          Head + "X-A: 1\r\n 2\r\nContent-Length: 0\r\n\r\n",
          Chunked + "5;a=\"b\"\r\nhello\r\n0\r\nX-A: 1\r\n\r\n",
          Chunked + "0\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 204 No Content\r\n\r\n"};
}

/// Runs a target on mutated samples. Returns how many inputs it accepted.
std::uint64_t
countAccepted(const std::vector<std::string> &Samples,
              const std::function<bool(const std::string &)> &Target) {
  const testing::FuzzPlan Plan = testing::readFuzzPlan();
  std::mt19937_64 Random(Plan.Seed_);
  std::uint64_t Accepted = 0;
  for (std::uint64_t I = 0; I < Plan.Inputs_; ++I)
    Accepted += Target(testing::mutate(Samples, Random)) ? 1 : 0;
  return Accepted;
}

/// Mutated inputs are rejected, or decoded to a value that stays the same when
/// it is encoded and decoded again. Each target must accept some inputs and
/// reject others; otherwise the test would check nothing.
class MutatedInput : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MutatedInput);
  CPPUNIT_TEST(isRejectedOrRoundTripsAsPeerMessage);
  CPPUNIT_TEST(isRejectedOrRoundTripsAsChangeEntry);
  CPPUNIT_TEST(isRejectedOrRoundTripsAsSettings);
  CPPUNIT_TEST(isRejectedOrReadAsAnAnswerWhereverItIsCut);
  CPPUNIT_TEST_SUITE_END();

  static void expectAcceptedAndRejected(std::uint64_t Accepted) {
    CPPUNIT_ASSERT(Accepted > 0);
    CPPUNIT_ASSERT(Accepted < testing::readFuzzPlan().Inputs_);
  }

public:
  void isRejectedOrRoundTripsAsPeerMessage() {
    expectAcceptedAndRejected(
        countAccepted(sampleMessages(), [](const std::string &Bytes) {
          const auto Decoded = adapters::decodePeerMessage(Bytes);
          if (!Decoded)
            return false;
          const auto Reread = adapters::decodePeerMessage(
              adapters::encodePeerMessage(*Decoded));
          CPPUNIT_ASSERT(Reread && *Reread == *Decoded);
          // Log entries received from a peer can be encoded like entries of the
          // store.
          if (const auto *Entries = std::get_if<control::Entries>(&*Decoded))
            for (const model::Change &Entry : Entries->Changes_)
              CPPUNIT_ASSERT(!control::encodeChange(Entry).empty());
          return true;
        }));
  }

  void isRejectedOrRoundTripsAsChangeEntry() {
    std::vector<std::string> Samples;
    for (const model::Change &Sample : sampleChanges())
      Samples.push_back(control::encodeChange(Sample));
    expectAcceptedAndRejected(
        countAccepted(Samples, [](const std::string &Bytes) {
          const auto Decoded = control::decodeChange(Bytes);
          if (!Decoded)
            return false;
          const auto Reread =
              control::decodeChange(control::encodeChange(*Decoded));
          CPPUNIT_ASSERT(Reread && *Reread == *Decoded);
          return true;
        }));
  }

  void isRejectedOrRoundTripsAsSettings() {
    const std::vector<std::string> Samples = {
        codec::toJson(sampleSettings()).dump(),
        codec::toJson(sampleSettings()).dump(2)};
    expectAcceptedAndRejected(
        countAccepted(Samples, [](const std::string &Text) {
          const codec::Json Document = codec::Json::parse(Text, nullptr, false);
          adapters::ControlSettings Decoded;
          model::Problems Found;
          codec::fromJson(Document, "", Decoded, Found);
          if (!Found.empty() ||
              !adapters::checkControlSettings(Decoded, "").empty())
            return false;
          adapters::ControlSettings Reread;
          codec::fromJson(codec::toJson(Decoded), "", Reread, Found);
          CPPUNIT_ASSERT(Found.empty());
          CPPUNIT_ASSERT(codec::toJson(Reread) == codec::toJson(Decoded));
          return true;
        }));
  }

  /// An answer is accepted with the same body when it arrives in three pieces.
  void isRejectedOrReadAsAnAnswerWhereverItIsCut() {
    std::mt19937_64 Random(testing::readFuzzPlan().Seed_);
    expectAcceptedAndRejected(
        countAccepted(sampleAnswers(), [&](const std::string &Bytes) {
          testing::PiecewiseReader<adapters::AnswerReader> Whole;
          testing::PiecewiseReader<adapters::AnswerReader> Cut;
          const std::string_view Text = Bytes;
          const std::size_t First = Random() % (Text.size() + 1);
          const std::size_t Second = Random() % (Text.size() - First + 1);
          const bool IsAccepted = Whole.feed(Text) == ReadStep::End;
          ReadStep Last = ReadStep::NeedMore;
          for (const std::string_view Piece :
               {Text.substr(0, First), Text.substr(First, Second),
                Text.substr(First + Second)})
            if (Last == ReadStep::NeedMore)
              Last = Cut.feed(Piece);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, IsAccepted,
                                       Last == ReadStep::End);
          CPPUNIT_ASSERT(!IsAccepted || Whole.body() == Cut.body());
          return IsAccepted;
        }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MutatedInput);

} // namespace

#include "adapters/controlruntime.h"
#include "adapters/peercodec.h"
#include "codec/describedjson.h"
#include "control/storecodec.h"
#include "mutation.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

using namespace cumingauge;

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

/// Runs a target on damaged samples; returns how many it took.
std::uint64_t takenOf(const std::vector<std::string> &Samples,
                      const std::function<bool(const std::string &)> &Target) {
  const testing::FuzzPlan Plan = testing::fuzzPlan();
  std::mt19937_64 Random(Plan.Seed_);
  std::uint64_t Taken = 0;
  for (std::uint64_t I = 0; I < Plan.Inputs_; ++I)
    Taken += Target(testing::mutate(Samples, Random)) ? 1 : 0;
  return Taken;
}

/// Damaged inputs are refused, or taken as a value that survives being written
/// and read again. Each target must have taken some inputs and refused others,
/// or it would show nothing.
class DamagedInput : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DamagedInput);
  CPPUNIT_TEST(ofPeerMessages);
  CPPUNIT_TEST(ofChangeEntries);
  CPPUNIT_TEST(ofSettings);
  CPPUNIT_TEST_SUITE_END();

  static void expectBoth(std::uint64_t Taken) {
    CPPUNIT_ASSERT(Taken > 0);
    CPPUNIT_ASSERT(Taken < testing::fuzzPlan().Inputs_);
  }

public:
  void ofPeerMessages() {
    expectBoth(takenOf(sampleMessages(), [](const std::string &Bytes) {
      const auto Read = adapters::decodePeerMessage(Bytes);
      if (!Read)
        return false;
      const auto Again =
          adapters::decodePeerMessage(adapters::encodePeerMessage(*Read));
      CPPUNIT_ASSERT(Again && *Again == *Read);
      // What a peer says of the log can be written like the log's own entries.
      if (const auto *Entries = std::get_if<control::Entries>(&*Read))
        for (const model::Change &Entry : Entries->Changes_)
          CPPUNIT_ASSERT(!control::encodeChange(Entry).empty());
      return true;
    }));
  }

  void ofChangeEntries() {
    std::vector<std::string> Samples;
    for (const model::Change &Sample : sampleChanges())
      Samples.push_back(control::encodeChange(Sample));
    expectBoth(takenOf(Samples, [](const std::string &Bytes) {
      const auto Read = control::decodeChange(Bytes);
      if (!Read)
        return false;
      const auto Again = control::decodeChange(control::encodeChange(*Read));
      CPPUNIT_ASSERT(Again && *Again == *Read);
      return true;
    }));
  }

  void ofSettings() {
    const std::vector<std::string> Samples = {
        codec::toJson(sampleSettings()).dump(),
        codec::toJson(sampleSettings()).dump(2)};
    expectBoth(takenOf(Samples, [](const std::string &Text) {
      const codec::Json Document = codec::Json::parse(Text, nullptr, false);
      adapters::ControlSettings Read;
      model::Problems Found;
      codec::fromJson(Document, "", Read, Found);
      if (!Found.empty() || !adapters::checkControlSettings(Read, "").empty())
        return false;
      adapters::ControlSettings Again;
      codec::fromJson(codec::toJson(Read), "", Again, Found);
      CPPUNIT_ASSERT(Found.empty());
      CPPUNIT_ASSERT(codec::toJson(Again) == codec::toJson(Read));
      return true;
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DamagedInput);

} // namespace

#include "platform/configurationdocument.h"
#include "adapters/peercodec.h"
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace cumingauge;
using Json = nlohmann::json;

namespace {

Json makeValidDocument() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-1"},
             {"host", "ficu.example"},
             {"prefix", "/pufi/"},
             {"kind", "unsafe"},
             {"timeout-ms", 600},
             {"latency-objective-ms", 250},
             {"priority", 1},
             {"service", "huvo"},
             {"attempts", 2}},
            {{"name", "r-2"},
             {"host", "ficu.example"},
             {"prefix", "/lohu/"},
             {"kind", "safe"},
             {"timeout-ms", 500},
             {"latency-objective-ms", 200},
             {"priority", 2},
             {"traffic-split",
              {{{"service", "huvo"}, {"weight", 90}},
               {{"service", "wuno"}, {"weight", 10}}}},
             {"attempts", 3}}}},
          {"services",
           {{{"name", "huvo"},
             {"health-check-path", "/health"},
             {"connection-limit", 150}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 1000},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

class ConfigurationDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationDocumentTest);
  CPPUNIT_TEST(becomesAPresetWithThePolicyOfTheBasePreset);
  CPPUNIT_TEST(keepsTheConnectionLimitOfEachService);
  CPPUNIT_TEST(hasTheHomesOfItsRoutesAndTheLimitsOfColdServers);
  CPPUNIT_TEST(keepsDigestsOfTheKeysOfWorkspaces);
  CPPUNIT_TEST(requiresAKeyOnAllRoutesButPublicOnes);
  CPPUNIT_TEST(skipsOnlyTheWorkspacesAndKeysThatCannotBeRead);
  CPPUNIT_TEST(hasTheQuotasOfItsWorkspaces);
  CPPUNIT_TEST(keepsAWorkspaceWhoseQuotaCannotBeRead);
  CPPUNIT_TEST(letsNobodyInWhenItsWorkspacesCannotBeRead);
  CPPUNIT_TEST(fitsIntoAPeerMessageWhenItIsFullOfKeys);
  CPPUNIT_TEST(skipsOnlyTheRoutesThatCannotBeRead);
  CPPUNIT_TEST(isIncompleteWhenAPartOfItCannotBeRead);
  CPPUNIT_TEST(treatsARouteOfUnknownKindAsNotIdempotent);
  CPPUNIT_TEST(isRefusedWithoutANumericVersion);
  CPPUNIT_TEST_SUITE_END();

  model::Problems Found_;

  std::optional<ports::ListedConfiguration> read(const Json &Document) {
    model::Preset Base;
    Base.Pick_ = model::PickMethod::LeastInFlightOfTwo;
    return platform::readConfiguration(Document.dump(), Base, Found_);
  }

public:
  void becomesAPresetWithThePolicyOfTheBasePreset() {
    const auto Read = read(makeValidDocument());
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Read->Version_);
    const model::Preset &Preset = Read->Preset_;
    CPPUNIT_ASSERT(Preset.Pick_ == model::PickMethod::LeastInFlightOfTwo);
    CPPUNIT_ASSERT_EQUAL(220U, Preset.Servers_.MaxConnections_);
    CPPUNIT_ASSERT(Preset.Callers_.IdleTimeout_ == model::milliseconds(15000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Preset.Routes_.size());
    const model::Route &Issue = Preset.Routes_[0];
    CPPUNIT_ASSERT(!Issue.Idempotent_);
    CPPUNIT_ASSERT(Issue.Deadline_ == model::milliseconds(600));
    CPPUNIT_ASSERT(Issue.Objective_ == model::milliseconds(250));
    CPPUNIT_ASSERT(Issue.Priority_ == model::Priority::Urgent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Issue.MaxBodyBytes_);
    const model::Route &Search = Preset.Routes_[1];
    CPPUNIT_ASSERT(Search.Idempotent_);
    CPPUNIT_ASSERT_EQUAL(3U, Search.MaxAttempts_);
    CPPUNIT_ASSERT((Search.Parts_ ==
                    std::vector<model::RoutePart>{{"huvo", 90}, {"wuno", 10}}));
    CPPUNIT_ASSERT(model::checkPreset(Preset, "").empty());
  }

  void keepsTheConnectionLimitOfEachService() {
    Json Document = makeValidDocument();
    Document["services"].push_back({{"name", "wuno"}});
    Document["services"].push_back(
        {{"name", "jeti"}, {"connection-limit", 980}});
    const model::Preset Preset = read(Document)->Preset_;
    CPPUNIT_ASSERT_EQUAL(150U, model::maxConnections(Preset, "huvo"));
    CPPUNIT_ASSERT_EQUAL(220U, model::maxConnections(Preset, "wuno"));
    CPPUNIT_ASSERT_EQUAL(220U, model::maxConnections(Preset, "jeti"));
  }

  void hasTheHomesOfItsRoutesAndTheLimitsOfColdServers() {
    Json Document = makeValidDocument();
    Document["routes"][0]["home-regions"] = {"ulaanbaatar", 7};
    Document["services"][0]["cold-per-s"] = 6.1;
    Document["services"].push_back({{"name", "wuno"}});
    const model::Preset Preset = read(Document)->Preset_;
    CPPUNIT_ASSERT(std::vector<std::string>{"ulaanbaatar"} ==
                   Preset.Routes_[0].Homes_);
    CPPUNIT_ASSERT(Preset.Routes_[1].Homes_.empty());
    CPPUNIT_ASSERT_EQUAL(6.1, Preset.Services_[0].ColdCallsPerSecond_);
    CPPUNIT_ASSERT_EQUAL(0.0, Preset.Services_[1].ColdCallsPerSecond_);
  }

  void keepsDigestsOfTheKeysOfWorkspaces() {
    Json Document = makeValidDocument();
    Document["tenants"] = {{{"name", "north"}, {"api-keys", {"abc", ""}}},
                           {{"name", "south"}, {"api-keys", Json::array()}}};
    const model::Preset Preset = read(Document)->Preset_;
    const std::vector<model::Workspace> Expected = {
        {"north",
         {"ba7816bf8f01cfea414140de5dae2223",
          "e3b0c44298fc1c149afbf4c8996fb924"}},
        {"south", {}}};
    CPPUNIT_ASSERT(Expected == *Preset.Workspaces_);
    CPPUNIT_ASSERT(Found_.empty());
    CPPUNIT_ASSERT(model::checkPreset(Preset, "").empty());
  }

  void requiresAKeyOnAllRoutesButPublicOnes() {
    Json Document = makeValidDocument();
    CPPUNIT_ASSERT(!read(Document)->Preset_.KeysRequired_);
    Document["tenants"] = Json::array();
    CPPUNIT_ASSERT(read(Document)->Preset_.KeysRequired_);
    const auto IsPublic = [&] {
      return read(Document)->Preset_.Routes_[1].Public_.value_or(false);
    };
    CPPUNIT_ASSERT(!IsPublic());
    Document["routes"][1]["public"] = true;
    CPPUNIT_ASSERT(IsPublic());
    for (const Json &Other : {Json(false), Json("true"), Json(1), Json()}) {
      Document["routes"][1]["public"] = Other;
      CPPUNIT_ASSERT(!IsPublic());
    }
  }

  void skipsOnlyTheWorkspacesAndKeysThatCannotBeRead() {
    Json Document = makeValidDocument();
    Document["tenants"] = {{{"name", "a\r\nX: 1"}, {"api-keys", {"k1"}}},
                           {{"api-keys", {"k2"}}},
                           "north",
                           {{"name", "north"}, {"api-keys", {"k3", 7, "k4"}}},
                           {{"name", "north"}, {"api-keys", {"k5"}}},
                           {{"name", "south"}, {"api-keys", {"k3", "k6"}}},
                           {{"name", "west"}, {"api-keys", "k7"}}};
    const model::Preset Preset = read(Document)->Preset_;
    const auto &Read = *Preset.Workspaces_;
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Read.size());
    CPPUNIT_ASSERT_EQUAL(std::string("north"), Read[0].Name_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read[0].KeyDigests_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read[1].KeyDigests_.size());
    CPPUNIT_ASSERT(Read[2].KeyDigests_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), Found_.size());
    CPPUNIT_ASSERT(model::checkPreset(Preset, "").empty());
  }

  void hasTheQuotasOfItsWorkspaces() {
    Json Document = makeValidDocument();
    const auto WithRates = [](const char *Name, const Json &Rates) {
      Json Out = {{"name", Name}, {"api-keys", Json::array()}};
      Out.update(Rates);
      return Out;
    };
    Document["tenants"] = {
        WithRates("a", {{"requests-per-s", 294}, {"burst", 30}}),
        WithRates("b", {{"requests-per-s", 0.5}}),
        WithRates("c", {{"requests-per-s", 0}, {"burst", 30}}),
        WithRates("d", Json::object())};
    const auto Read = read(Document)->Preset_.Workspaces_;
    CPPUNIT_ASSERT((model::CallQuota{294, 30} == Read->at(0).Quota_.value()));
    CPPUNIT_ASSERT((model::CallQuota{0.5, 0} == Read->at(1).Quota_.value()));
    CPPUNIT_ASSERT(!Read->at(2).Quota_ && !Read->at(3).Quota_);
    CPPUNIT_ASSERT(Found_.empty());
  }

  void keepsAWorkspaceWhoseQuotaCannotBeRead() {
    Json Document = makeValidDocument();
    Document["tenants"] = {{{"name", "north"}, {"api-keys", {"k1"}}}};
    for (const Json &Rate : {Json("294"), Json(-1), Json(nullptr)}) {
      Document["tenants"][0]["requests-per-s"] = Rate;
      Document["tenants"][0]["burst"] = 30;
      Found_.clear();
      const auto Read = read(Document)->Preset_.Workspaces_;
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read->at(0).KeyDigests_.size());
      CPPUNIT_ASSERT(!Read->at(0).Quota_);
      CPPUNIT_ASSERT_EQUAL(
          std::string("configuration/tenants/0/requests-per-s"),
          Found_.at(0).Path_);
    }
    Document["tenants"][0]["requests-per-s"] = 294;
    Document["tenants"][0]["burst"] = "30";
    CPPUNIT_ASSERT((model::CallQuota{294, 0} ==
                    read(Document)->Preset_.Workspaces_->at(0).Quota_.value()));
  }

  void letsNobodyInWhenItsWorkspacesCannotBeRead() {
    for (const Json &Tenants : {Json("north"), Json(nullptr), Json::object()}) {
      Json Document = makeValidDocument();
      Document["tenants"] = Tenants;
      Found_.clear();
      const model::Preset Preset = read(Document)->Preset_;
      CPPUNIT_ASSERT(Preset.KeysRequired_);
      CPPUNIT_ASSERT(Preset.Workspaces_->empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Found_.size());
    }
  }

  /// Guards against links that are closed for a message above the limit.
  void fitsIntoAPeerMessageWhenItIsFullOfKeys() {
    constexpr std::size_t LargestDocument = 1048576;
    constexpr std::size_t KeyLength = 20;
    Json Document = makeValidDocument();
    const std::size_t Others = Document.dump().size() + 100;
    Json Keys = Json::array();
    for (std::size_t I = 0; I < (LargestDocument - Others) / (KeyLength + 3);
         ++I) {
      const std::string Number = std::to_string(I);
      Keys.push_back(std::string(KeyLength - Number.size(), 'k') + Number);
    }
    Document["tenants"] = {{{"name", "north"}, {"api-keys", Keys}}};
    CPPUNIT_ASSERT(Document.dump().size() <= LargestDocument);
    control::DirectoryUpdate Update;
    Update.Preset_ = read(Document)->Preset_;
    CPPUNIT_ASSERT(Update.Preset_->Workspaces_->at(0).KeyDigests_.size() ==
                   Keys.size());
    CPPUNIT_ASSERT(adapters::encodePeerMessage(Update).size() <
                   adapters::MaxPeerMessageBytes);
  }

  /// Guards against refusals by a process that lacks the part that allows the
  /// request, also by one that has the configuration from a peer.
  void isIncompleteWhenAPartOfItCannotBeRead() {
    const auto IsIncomplete = [&](const Json &Document) {
      control::DirectoryUpdate Update;
      Update.Preset_ = read(Document)->Preset_;
      const auto Received =
          adapters::decodePeerMessage(adapters::encodePeerMessage(Update));
      return std::get<control::DirectoryUpdate>(Received.value())
          .Preset_->Incomplete_.value_or(false);
    };
    CPPUNIT_ASSERT(!IsIncomplete(makeValidDocument()));
    const std::vector<std::pair<std::string, Json>> Unreadable = {
        {"/routes/0/host", 7},
        {"/routes/0/service", 7},
        {"/limits/max-body-bytes", "1000"},
        {"/limits/max-header-bytes", -1},
        {"/tenants", 7},
        {"/tenants", Json::array({{{"name", "north"}}})}};
    for (const auto &[Path, Value] : Unreadable) {
      Json Document = makeValidDocument();
      Document[Json::json_pointer(Path)] = Value;
      CPPUNIT_ASSERT_MESSAGE(Path, IsIncomplete(Document));
    }
  }

  void skipsOnlyTheRoutesThatCannotBeRead() {
    Json Document = makeValidDocument();
    Document["routes"][0].erase("prefix");
    const auto Read = read(Document);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read->Preset_.Routes_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("configuration/routes/0"),
                         Found_.at(0).Path_);
  }

  void treatsARouteOfUnknownKindAsNotIdempotent() {
    Json Document = makeValidDocument();
    Document["routes"][1]["kind"] = "keyed";
    CPPUNIT_ASSERT(!read(Document)->Preset_.Routes_[1].Idempotent_);
  }

  void isRefusedWithoutANumericVersion() {
    Json Document = makeValidDocument();
    Document["version"] = "7";
    CPPUNIT_ASSERT(!read(Document));
    CPPUNIT_ASSERT(!Found_.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDocumentTest);

} // namespace

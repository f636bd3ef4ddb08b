#include "codec/describedjson.h"
#include "model/backendserver.h"
#include "model/preset.h"
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <set>

using namespace cumingauge;

namespace {

template <class T> T readSample(const std::string &Name) {
  std::ifstream In(std::string(SOURCE_DIR "/presets/") + Name);
  T Out;
  model::Problems Found;
  codec::fromJson(codec::Json::parse(In, nullptr, false), "", Out, Found);
  CPPUNIT_ASSERT_MESSAGE(Name, Found.empty());
  return Out;
}

class TheSamplesOfADeployment : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheSamplesOfADeployment);
  CPPUNIT_TEST(areValidPresets);
  CPPUNIT_TEST(haveServersForEveryRoute);
  CPPUNIT_TEST_SUITE_END();

public:
  void areValidPresets() {
    for (const std::string &Deployment : Deployments_)
      for (const std::string Name : {"ordinary", "peak", "maintenance"}) {
        const auto Preset =
            readSample<model::Preset>(Deployment + "/" + Name + ".json");
        CPPUNIT_ASSERT_EQUAL(Name, Preset.Name_);
        CPPUNIT_ASSERT(model::checkPreset(Preset, "").empty());
      }
  }

  void haveServersForEveryRoute() {
    for (const std::string &Deployment : Deployments_) {
      const auto Servers = readSample<std::vector<model::BackendServer>>(
          Deployment + "/servers.json");
      std::set<std::string> Names;
      std::set<std::string> Services;
      for (const model::BackendServer &Server : Servers) {
        Names.insert(Server.Name_);
        Services.insert(Server.Service_);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(27), Names.size());
      const auto Preset =
          readSample<model::Preset>(Deployment + "/ordinary.json");
      for (const model::Route &Route : Preset.Routes_)
        CPPUNIT_ASSERT(Services.count(Route.Service_));
    }
  }

private:
  const std::vector<std::string> Deployments_ = {"nord-italia", "gujarat"};
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheSamplesOfADeployment);

} // namespace

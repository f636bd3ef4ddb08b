#include "codec/describedjson.h"
#include "model/resultcode.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <rapidcheck.h>
#include <sys/wait.h>

using namespace cumingauge;
using codec::Json;
using model::ResultCode;

namespace {

Json validSettings() {
  return Json::parse(R"({
    "control": {"process": "entry-1", "zone": "milano-a", "region": "north",
                "key": "0123456789abcdef", "freshnessLimitMs": 2000,
                "peer": {"host": "127.0.0.1", "port": 0},
                "store": {"host": "127.0.0.1", "port": 8500}},
    "listen": {"host": "127.0.0.1", "port": 8080},
    "admin": {"host": "127.0.0.1", "port": 8081},
    "trafficThreads": 2,
    "http": {"headerBytes": 16384, "keptBodyBytes": 65536,
             "maxCallerConnections": 100, "headTimeoutMs": 1000,
             "idleTimeoutMs": 1000, "bodyTimeoutMs": 1000,
             "writeTimeoutMs": 1000, "backendIdleTimeoutMs": 1000,
             "freshWaitMs": 100, "creditWaitMs": 100, "drainIdleTimeMs": 100,
             "drainTimeoutMs": 1000},
    "log": {"level": "info", "format": "json"}})");
}

/// Runs `cumingauged --check` on a settings file.
class Checker {
public:
  struct Verdict {
    int Status_ = -1;
    std::string Text_;
  };

  Checker() {
    char Name[] = "/tmp/cumingauge-settings-XXXXXX";
    Folder_ = mkdtemp(Name);
  }
  ~Checker() {
    std::remove(file().c_str());
    std::remove(Folder_.c_str());
  }

  Verdict check(const std::string &Document) const {
    std::ofstream(file()) << Document;
    const std::string Command = std::string(PROGRAM_DIR) +
                                "/cumingauged --check --settings " + file() +
                                " 2>&1";
    Verdict Out;
    FILE *Pipe = popen(Command.c_str(), "r");
    char Buffer[512];
    while (std::fgets(Buffer, sizeof Buffer, Pipe))
      Out.Text_ += Buffer;
    Out.Status_ = WEXITSTATUS(pclose(Pipe));
    return Out;
  }

private:
  std::string file() const { return Folder_ + "/settings.json"; }

  std::string Folder_;
};

/// Returns the paths of all values that are not objects.
std::vector<std::string> leafPaths(const Json &Document) {
  std::vector<std::string> Out;
  const Json Flat = Document.flatten();
  for (const auto &Entry : Flat.items())
    Out.push_back(Entry.key());
  return Out;
}

Json anyOf(const std::vector<std::string> &Texts) {
  return Json::parse(*rc::gen::elementOf(Texts));
}

/// Adds one random error to the settings.
/// \returns the path that the error message must name.
std::string addError(Json &Document) {
  const auto Leaves = leafPaths(Document);
  const std::string Path = *rc::gen::elementOf(Leaves);
  const Json::json_pointer Pointer(Path);
  switch (*rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 4))) {
  case 0: // wrong type
    Document[Pointer] = anyOf({"[1]", "null", "{\"a\": 1}"});
    return Path;
  case 1: { // unknown key
    const std::string Unknown = Path + "X";
    Document[Json::json_pointer(Unknown)] = 1;
    return Unknown;
  }
  case 2: // number instead of a text; text or bad number instead of a number
    Document[Pointer] = Document[Pointer].is_string()
                            ? Json(7)
                            : anyOf({"\"7\"", "-1", "1.5", "\"\""});
    return Path;
  default: // key with an additional unit
    const std::string Plain = Path + "S";
    Document[Json::json_pointer(Plain)] = Document[Pointer];
    return Plain;
  }
}

class SettingsFile : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsFile);
  CPPUNIT_TEST(isAcceptedWhenValid);
  CPPUNIT_TEST(isRejectedWithThePathOfTheError);
  CPPUNIT_TEST(isRejectedWithThePositionOfASyntaxError);
  CPPUNIT_TEST(isRejectedWithThePathOfADuplicateKey);
  CPPUNIT_TEST(isRejectedWhenAValueIsOutOfRange);
  CPPUNIT_TEST_SUITE_END();

public:
  void isAcceptedWhenValid() {
    const auto Verdict = Checker().check(validSettings().dump());
    CPPUNIT_ASSERT_EQUAL(std::string(), Verdict.Text_);
    CPPUNIT_ASSERT_EQUAL(0, Verdict.Status_);
  }

  void isRejectedWithThePathOfTheError() {
    const Checker Program;
    CPPUNIT_ASSERT(rc::check("an error is reported with its path", [&] {
      Json Document = validSettings();
      const std::string Path = addError(Document);
      const auto Verdict = Program.check(Document.dump());
      RC_LOG() << Path << " gave " << Verdict.Text_;
      RC_ASSERT(Verdict.Status_ ==
                static_cast<int>(ResultCode::SettingsInvalid));
      RC_ASSERT(Verdict.Text_.rfind(Path + ": ", 0) == 0U);
    }));
  }

  void isRejectedWithThePathOfADuplicateKey() {
    const Checker Program;
    std::string Text = validSettings().dump();
    const std::string Port = "\"listen\":{";
    const std::size_t At = Text.find(Port);
    CPPUNIT_ASSERT(At != std::string::npos);
    Text.insert(At + Port.size(), "\"port\":1,\"port\":2,");
    const auto Verdict = Program.check(Text);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::SettingsInvalid),
                         Verdict.Status_);
    CPPUNIT_ASSERT(Verdict.Text_.rfind("/listen/port: stands twice", 0) == 0U);
  }

  void isRejectedWithThePositionOfASyntaxError() {
    const Checker Program;
    const std::string Whole = validSettings().dump();
    for (std::size_t Cut = 1; Cut < Whole.size(); Cut += Whole.size() / 20) {
      const auto Verdict = Program.check(Whole.substr(0, Cut));
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::SettingsMalformed),
                           Verdict.Status_);
      CPPUNIT_ASSERT(Verdict.Text_.find("column") != std::string::npos);
    }
  }

  void isRejectedWhenAValueIsOutOfRange() {
    const Checker Program;
    for (const char *Path :
         {"/trafficThreads", "/http/headerBytes", "/http/idleTimeoutMs",
          "/http/maxCallerConnections", "/http/drainTimeoutMs"}) {
      Json Document = validSettings();
      Document[Json::json_pointer(Path)] = 0;
      const auto Verdict = Program.check(Document.dump());
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::SettingsInvalid),
                           Verdict.Status_);
      CPPUNIT_ASSERT_EQUAL(0,
                           Verdict.Text_.compare(0, std::strlen(Path), Path));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFile);

} // namespace

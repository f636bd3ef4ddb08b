#include "crowd/site.h"
#include "codec/describedjson.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <sys/resource.h>

namespace cumingauge::test {

using codec::Json;
namespace fs = std::filesystem;

namespace {

constexpr std::uint64_t MegabyteBytes = 1048576;
constexpr std::uint64_t MaxMemoryBytes = 112 * MegabyteBytes;
constexpr unsigned StoreDescriptors = 1024;
constexpr std::size_t LargeAnswerBytes = 60000;
constexpr std::size_t LargeUploadBytes = 5000000;

std::string answerOf(const ScriptedServer::Request &Seen) {
  const bool Large = Seen.Head_.find("/search") != std::string::npos;
  return ScriptedServer::answer(Large ? std::string(LargeAnswerBytes, 'a')
                                      : "done");
}

/// Lets the test itself open as many descriptors as it may.
void raiseOwnLimit() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

fs::path makeFolder() {
  std::string Name =
      (fs::temp_directory_path() / "cumingauge-crowd-XXXXXX").string();
  return mkdtemp(Name.data());
}

/// Waits until a program has written the file with its ports.
Json waitForPorts(const fs::path &File) {
  CPPUNIT_ASSERT(eventually([&] { return fs::exists(File); }));
  std::ifstream In(File);
  return Json::parse(In);
}

Json entrySettings() {
  return Json::parse(R"({
    "control": {"process": "entry-1", "zone": "milano-a", "region": "north",
                "key": "0123456789abcdef", "peer": {"port": 0}},
    "listen": {"port": 0}, "admin": {"port": 0}, "trafficThreads": 1,
    "http": {"keptAnswerBytes": 65536}})");
}

Json deployment() {
  return Json::parse(R"({
    "choose": "ordinary",
    "presets": [{
      "name": "ordinary", "measuring": {"probesPerSecond": 0},
      "servers": {"warmConnections": 0},
      "routes": [
        {"name": "search", "pathPrefix": "/search", "service": "catalogue",
         "idempotent": true, "deadlineMs": 6000},
        {"name": "licence", "pathPrefix": "/licence", "service": "catalogue",
         "idempotent": false, "deadlineMs": 6000}]}],
    "servers": [
      {"name": "first", "vm": "vm-1", "service": "catalogue",
       "zone": "milano-a", "host": "127.0.0.1"},
      {"name": "second", "vm": "vm-2", "service": "catalogue",
       "zone": "milano-a", "host": "127.0.0.1"}]})");
}

} // namespace

Site::Site(const Options &Chosen)
    : Folder_(makeFolder()), MaxDescriptors_(Chosen.MaxDescriptors_),
      First_(answerOf), Second_(answerOf) {
  raiseOwnLimit();
  start(Chosen);
}

Site::~Site() {
  Watch_.reset();
  Entry_.reset();
  Store_.reset();
  std::error_code Ignored;
  fs::remove_all(Folder_, Ignored);
}

void Site::start(const Options &Chosen) {
  const std::string At = Folder_.string();
  Store_ = std::make_unique<StartedProgram>(
      "cumingauge-fakestore --port-file " + At + "/store.ports",
      StoreDescriptors);
  const Json Store = {{"port", waitForPorts(At + "/store.ports")}};
  Json Settings = entrySettings();
  Settings["control"]["store"] = Store;
  Settings["http"]["bodyTimeoutMs"] = Chosen.BodyTimeoutMs_;
  std::ofstream(At + "/entry.json") << Settings;
  Json Document = deployment();
  Document["servers"][0]["port"] = First_.port();
  Document["servers"][1]["port"] = Second_.port();
  for (Json &Server : Document["servers"])
    Server["slots"] = Chosen.Slots_;
  std::ofstream(At + "/deployment.json") << Document;
  std::ofstream(At + "/ctl.json")
      << Json{{"store", Store}, {"key", Settings["control"]["key"]}};
  const std::string Init = PROGRAM_DIR "/cumingaugectl --settings=" + At +
                           "/ctl.json init " + At +
                           "/deployment.json >/dev/null 2>&1";
  CPPUNIT_ASSERT_EQUAL(0, std::system(Init.c_str()));
  Entry_ = std::make_unique<StartedProgram>("cumingauged --settings " + At +
                                                "/entry.json --port-file " +
                                                At + "/entry.ports",
                                            MaxDescriptors_);
  const Json Ports = waitForPorts(At + "/entry.ports");
  Port_ = Ports.at("listen");
  AdminPort_ = Ports.at("admin");
  Watch_ = std::make_unique<ProcessWatch>(*Entry_, Port_);
  CPPUNIT_ASSERT(eventually([this] {
    return ask(AdminPort_, request("GET", "/readyz")).Status_ == 200;
  }));
}

RawCaller::Answer Site::ask(std::uint16_t Port,
                            const std::string &Bytes) const {
  CPPUNIT_ASSERT_MESSAGE(figures(), Entry_->isRunning());
  RawCaller Caller(Port);
  Caller.send(Bytes);
  CPPUNIT_ASSERT_MESSAGE("no answer; " + figures(), Caller.awaitBytes());
  return Caller.read();
}

bool Site::isBrokenPromise(const std::string &Request, unsigned Status) const {
  if (Status != 408 && Status != 421 && Status != 429 && Status != 503)
    return false;
  for (const ScriptedServer *Server : {&First_, &Second_})
    for (const std::string &Head : Server->heads())
      if (Head.rfind(Request + " ", 0) == 0)
        return true;
  return false;
}

unsigned Site::post(const std::string &Fields, const std::string &Body) {
  const std::string Request = "POST /licence/" + std::to_string(++Posted_);
  const RawCaller::Answer Answer =
      ask(Port_, Request + " HTTP/1.1\r\nHost: cumingauge\r\n" + Fields +
                     "\r\n" + Body);
  CPPUNIT_ASSERT_MESSAGE(Answer.Head_,
                         !isBrokenPromise(Request, Answer.Status_));
  return Answer.Whole_ ? Answer.Status_ : 0;
}

void Site::checkAmidTheCrowd() {
  CPPUNIT_ASSERT_EQUAL(200U,
                       ask(AdminPort_, request("GET", "/healthz")).Status_);
  const unsigned Status = post("Content-Length: 5\r\n", "order");
  const std::set<unsigned> Allowed = {0, 200, 408, 421, 429, 502, 503, 504};
  CPPUNIT_ASSERT_MESSAGE(std::to_string(Status), Allowed.count(Status) > 0);
  waitUntilQuiet();
}

void Site::checkAfterwards() {
  // The process may still count connections that have just been closed.
  CPPUNIT_ASSERT_MESSAGE(figures(), eventually([this] {
                           return post("Content-Length: 5\r\n", "order") == 200;
                         }));
  CPPUNIT_ASSERT_EQUAL(200U,
                       post("Transfer-Encoding: chunked\r\n",
                            unfinishedChunks(60000, 16000) + "0\r\n\r\n"));
  const std::string Upload(LargeUploadBytes, 'u');
  CPPUNIT_ASSERT_EQUAL(
      200U, post("Content-Length: " + std::to_string(Upload.size()) + "\r\n",
                 Upload));
  std::cout << " " << figures() << std::flush;
  CPPUNIT_ASSERT_MESSAGE(figures(), Entry_->isRunning());
  const ProcessWatch::Peak Peak = Watch_->peak();
  CPPUNIT_ASSERT_MESSAGE(figures(), Peak.MemoryBytes_ < MaxMemoryBytes);
  CPPUNIT_ASSERT_MESSAGE(figures(), Peak.Descriptors_ < MaxDescriptors_);
}

std::string Site::figures() const {
  const ProcessWatch::Peak Peak = Watch_->peak();
  std::ostringstream Out;
  Out << Peak.MemoryBytes_ / MegabyteBytes << " MB, of them at most "
      << Peak.UnreadBytes_ / MegabyteBytes << " MB unread; "
      << Peak.Descriptors_ << " descriptors; "
      << (Entry_->isRunning() ? "running" : "ended");
  return Out.str();
}

std::string unfinishedChunks(std::size_t Bytes, std::size_t ChunkBytes) {
  std::ostringstream Out;
  for (std::size_t Left = Bytes; Left > 0;) {
    const std::size_t Now = std::min(Left, ChunkBytes);
    Out << std::hex << Now << "\r\n" << std::string(Now, 'z') << "\r\n";
    Left -= Now;
  }
  return Out.str();
}

} // namespace cumingauge::test

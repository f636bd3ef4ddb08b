#include "codec/describedjson.h"
#include "http/frontend.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

namespace fs = std::filesystem;
using boost::asio::ip::tcp;

std::uint16_t unusedPort() {
  boost::asio::io_context Io;
  const tcp::acceptor Probe(
      Io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return Probe.local_endpoint().port();
}

bool accepts(std::uint16_t Port) {
  boost::asio::io_context Io;
  tcp::socket Socket(Io);
  boost::system::error_code Error;
  Socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), Port),
                 Error);
  return !Error;
}

/// A pipe with a name that accepts no bytes until it is emptied.
class FullPipe {
public:
  explicit FullPipe(const fs::path &File) {
    mkfifo(File.c_str(), S_IRUSR | S_IWUSR);
    Descriptor_ = open(File.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    while (write(Descriptor_, "x", 1) == 1)
      ;
  }
  FullPipe(const FullPipe &) = delete;
  FullPipe &operator=(const FullPipe &) = delete;
  ~FullPipe() { close(Descriptor_); }

  void empty() const {
    std::array<char, 4096> Buffer{};
    while (read(Descriptor_, Buffer.data(), Buffer.size()) > 0)
      ;
  }

private:
  int Descriptor_ = -1;
};

/// Runs cumingauged, which listens and then waits for its file of ports to
/// accept bytes.
class StartingProgram {
public:
  StartingProgram()
      : Folder_(makeFolder()), Port_(unusedPort()),
        PortFile_(Folder_ / "ports.new") {
    const std::string Settings = (Folder_ / "settings.json").string();
    const std::string Ports = (Folder_ / "ports").string();
    std::ofstream(Settings) << settings(Port_).dump();
    const std::string Program = std::string(PROGRAM_DIR) + "/cumingauged";
    const std::array<const char *, 6> Arguments = {
        Program.c_str(), "--settings",  Settings.c_str(),
        "--port-file",   Ports.c_str(), nullptr};
    posix_spawn_file_actions_t Output;
    posix_spawn_file_actions_init(&Output);
    posix_spawn_file_actions_addopen(&Output, STDOUT_FILENO, "/dev/null",
                                     O_WRONLY, 0);
    if (posix_spawn(&Process_, Program.c_str(), &Output, nullptr,
                    const_cast<char **>(Arguments.data()), environ) != 0)
      Process_ = -1;
    posix_spawn_file_actions_destroy(&Output);
  }
  StartingProgram(const StartingProgram &) = delete;
  StartingProgram &operator=(const StartingProgram &) = delete;
  ~StartingProgram() {
    if (Process_ > 0 && !Status_) {
      kill(Process_, SIGKILL);
      waitpid(Process_, nullptr, 0);
    }
    std::error_code Ignored;
    fs::remove_all(Folder_, Ignored);
  }

  std::uint16_t port() const { return Port_; }
  /// Waits until the program listens, and returns whether it does.
  bool isListening() const {
    return Process_ > 0 && eventually([&] { return accepts(Port_); });
  }
  void signal(int Number) const { kill(Process_, Number); }
  void finishStart() const { PortFile_.empty(); }

  /// Waits until the program has ended.
  /// \returns whether it ended by itself and without an error.
  bool hasEndedWell() {
    eventually([&] {
      int Status = 0;
      if (waitpid(Process_, &Status, WNOHANG) == Process_)
        Status_ = Status;
      return Status_.has_value();
    });
    return Status_ && WIFEXITED(*Status_) && WEXITSTATUS(*Status_) == 0;
  }

private:
  static fs::path makeFolder() {
    std::string Name =
        (fs::temp_directory_path() / "cumingauge-signals-XXXXXX").string();
    return mkdtemp(Name.data());
  }

  static codec::Json settings(std::uint16_t Port) {
    codec::Json Out = codec::Json::parse(R"({
      "control": {"process": "entry-1", "zone": "milano-a", "region": "north",
                  "key": "0123456789abcdef",
                  "peer": {"host": "127.0.0.1", "port": 0},
                  "store": {"host": "127.0.0.1", "port": 1}},
      "admin": {"host": "127.0.0.1", "port": 0},
      "http": {"drainAcceptTimeMs": 1000, "drainIdleTimeMs": 5000,
               "drainTimeoutMs": 6000}})");
    Out["listen"] = {{"host", "127.0.0.1"}, {"port", Port}};
    return Out;
  }

  fs::path Folder_;
  std::uint16_t Port_;
  FullPipe PortFile_;
  pid_t Process_ = -1;
  std::optional<int> Status_;
};

class SignalsWhileTheProgramStarts : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SignalsWhileTheProgramStarts);
  CPPUNIT_TEST(aStopThatComesBeforeTheEndOfTheStartCutsNoRequest);
  CPPUNIT_TEST(aReloadThatComesBeforeTheEndOfTheStartCutsNoRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a process that listens before it handles its signals, and
  /// is ended by one with accepted requests.
  void aStopThatComesBeforeTheEndOfTheStartCutsNoRequest() {
    StartingProgram Program;
    checkThatARequestSurvives(Program, SIGTERM);
    CPPUNIT_ASSERT(Program.hasEndedWell());
  }

  void aReloadThatComesBeforeTheEndOfTheStartCutsNoRequest() {
    StartingProgram Program;
    checkThatARequestSurvives(Program, SIGHUP);
    Program.signal(SIGTERM);
    CPPUNIT_ASSERT(Program.hasEndedWell());
  }

private:
  static void checkThatARequestSurvives(const StartingProgram &Program,
                                        int Signal) {
    CPPUNIT_ASSERT(Program.isListening());
    RawCaller Caller(Program.port());
    const std::string Whole = request("GET", "/search");
    Caller.send(Whole.substr(0, Whole.size() / 2));
    Program.signal(Signal);
    Program.finishStart();
    Caller.send(Whole.substr(Whole.size() / 2));
    // Refused, as the process knows no configuration.
    CPPUNIT_ASSERT_EQUAL(503U, Caller.read().Status_);
    Caller.disconnect();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SignalsWhileTheProgramStarts);

} // namespace

#pragma once

#include "crowd/processwatch.h"
#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <memory>
#include <string>

namespace cumingauge::test {

/// A store, two backend servers and one entry process with the limits of the
/// smallest machine. The routes are /search (idempotent, with answers of 60 kB)
/// and /licence (not idempotent).
class Site {
public:
  struct Options {
    unsigned MaxDescriptors_ = 2870;
    unsigned Slots_ = 100; ///< of each backend server
    unsigned BodyTimeoutMs_ = 10000;
  };

  explicit Site(const Options &Chosen);
  ~Site();

  std::uint16_t port() const { return Port_; }

  /// Waits until the process has taken what it takes of what was sent.
  void waitUntilQuiet() { Watch_->waitUntilQuiet(); }

  /// Returns whether this status of an answer promises that the request was not
  /// run, although a server began to work on it.
  /// \param Request method and target.
  bool isBrokenPromise(const std::string &Request, unsigned Status) const;

  /// Checks what must hold while the crowd is connected: the process answers,
  /// and an ordinary request is served, refused truthfully or cut off.
  void checkAmidTheCrowd();

  /// Checks what must hold after the crowd has left: requests inside the limits
  /// are served, and the process stayed within its machine all along.
  void checkAfterwards();

private:
  void start(const Options &Chosen);
  /// Sends a request on a new connection and reads its answer. Fails when none
  /// comes and the connection stays open, too.
  RawCaller::Answer ask(std::uint16_t Port, const std::string &Bytes) const;
  /// Posts a body and checks that the answer is truthful.
  /// \returns the status, 0 when the answer was cut off.
  unsigned post(const std::string &Fields, const std::string &Body);
  std::string figures() const;

  const std::filesystem::path Folder_;
  const unsigned MaxDescriptors_;
  ScriptedServer First_;
  ScriptedServer Second_;
  std::unique_ptr<StartedProgram> Store_;
  std::unique_ptr<StartedProgram> Entry_;
  std::unique_ptr<ProcessWatch> Watch_;
  std::uint16_t Port_ = 0;
  std::uint16_t AdminPort_ = 0;
  unsigned Posted_ = 0;
};

/// Returns a chunked body without its end.
std::string unfinishedChunks(std::size_t Bytes, std::size_t ChunkBytes);

} // namespace cumingauge::test

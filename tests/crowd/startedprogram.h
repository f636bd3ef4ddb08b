#pragma once

#include <filesystem>
#include <string>
#include <sys/types.h>

namespace cumingauge::test {

/// Runs a program of this build and kills it at the end.
class StartedProgram {
public:
  /// \param Command name and arguments.
  StartedProgram(const std::string &Command, unsigned MaxDescriptors);
  StartedProgram(const StartedProgram &) = delete;
  StartedProgram &operator=(const StartedProgram &) = delete;
  ~StartedProgram();

  /// Returns its folder in /proc.
  std::filesystem::path folder() const;
  bool isRunning() const;
  void killNow() const;

private:
  pid_t Process_ = -1;
};

} // namespace cumingauge::test

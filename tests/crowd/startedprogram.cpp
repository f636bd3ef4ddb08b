#include "crowd/startedprogram.h"
#include <array>
#include <csignal>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace cumingauge::test {

StartedProgram::StartedProgram(const std::string &Command,
                               unsigned MaxDescriptors) {
  // The shell sets the limit and becomes the program.
  const std::string Script = "ulimit -n " + std::to_string(MaxDescriptors) +
                             " && exec " PROGRAM_DIR "/" + Command +
                             " >/dev/null 2>&1";
  const std::array<const char *, 4> Words = {"/bin/sh", "-c", Script.c_str(),
                                             nullptr};
  if (posix_spawn(&Process_, Words[0], nullptr, nullptr,
                  const_cast<char **>(Words.data()), environ) != 0)
    throw std::runtime_error(Command + " cannot be started");
}

StartedProgram::~StartedProgram() {
  killNow();
  waitpid(Process_, nullptr, 0);
}

std::filesystem::path StartedProgram::folder() const {
  return "/proc/" + std::to_string(Process_);
}

bool StartedProgram::isRunning() const {
  siginfo_t Ended{}; // WNOWAIT leaves the status to the destructor
  return waitid(P_PID, static_cast<id_t>(Process_), &Ended,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         Ended.si_pid == 0;
}

void StartedProgram::killNow() const { kill(Process_, SIGKILL); }

} // namespace cumingauge::test

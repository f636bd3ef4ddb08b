#include "emulator/daemon.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>

namespace cumingauge::emulator {

void runUntilSignal(boost::asio::io_context &Context,
                    const std::function<void()> &Stop) {
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&Stop](auto Error, int) {
    if (!Error)
      Stop();
  });
  Context.run();
}

bool writeFileAtomically(const std::string &File, const std::string &Content) {
  if (File.empty())
    return true;
  const std::string TemporaryFile = File + ".draft";
  std::ofstream Out(TemporaryFile);
  Out << Content << "\n";
  Out.close();
  return Out && std::rename(TemporaryFile.c_str(), File.c_str()) == 0;
}

} // namespace cumingauge::emulator

#include "emulator/journalreader.h"
#include "emulator/fakeserver.h"
#include "emulator/httpcall.h"
#include <fstream>
#include <sstream>

namespace cumingauge::emulator {

using codec::Json;

namespace {

/// Entries requested from a server at a time.
constexpr std::uint64_t PageEntries = 20000;

std::optional<HttpReply> getFrom(const JournalSource &Source,
                                 const std::string &Target) {
  HttpCall Call;
  Call.Host_ = Source.Host_;
  Call.Port_ = Source.Port_;
  Call.Target_ = Target;
  return callHttp(Call);
}

bool readFile(const std::string &File, const std::string &CallPrefix,
              JournalTable &Table) {
  std::ifstream In(File);
  if (!In)
    return false;
  std::ostringstream Text;
  Text << In.rdbuf();
  return addJournalLines(Text.str(), CallPrefix, Table);
}

std::vector<ServerCounters> readCounters(const JournalSource &Source) {
  std::vector<ServerCounters> Out;
  const auto Reply = getFrom(Source, "/servers");
  if (!Reply)
    return Out;
  model::Problems Found;
  codec::fromJson(Json::parse(Reply->Body_, nullptr, false), "", Out, Found);
  return Out;
}

bool readServer(const JournalSource &Source, const ServerCounters &Server,
                const std::string &CallPrefix, JournalTable &Table) {
  std::uint64_t After = 0;
  while (After < Server.Started_) {
    const auto Reply =
        getFrom(Source, "/servers/" + Server.Server_ +
                            "/journal?after=" + std::to_string(After) +
                            "&limit=" + std::to_string(PageEntries));
    if (!Reply || !addJournalLines(Reply->Body_, CallPrefix, Table))
      return false;
    After += PageEntries;
  }
  return Server.JournalDropped_ == 0;
}

} // namespace

bool addJournalLines(const std::string &Lines, const std::string &CallPrefix,
                     JournalTable &Table) {
  std::istringstream In(Lines);
  std::string Line;
  bool Readable = true;
  while (std::getline(In, Line)) {
    JournalEntry Entry;
    model::Problems Found;
    codec::fromJson(Json::parse(Line, nullptr, false), "", Entry, Found);
    if (!Found.empty()) {
      Readable = false;
      continue;
    }
    if (Entry.Call_.rfind(CallPrefix, 0) != 0)
      continue;
    JournalEntry &Known = Table[{Entry.Server_, Entry.Sequence_}];
    if (Known.End_ == RunEnd::Running)
      Known = Entry;
  }
  return Readable;
}

bool readJournal(const JournalSource &Source, const std::string &CallPrefix,
                 JournalTable &Table) {
  if (!Source.File_.empty())
    return readFile(Source.File_, CallPrefix, Table);
  const std::vector<ServerCounters> Servers = readCounters(Source);
  bool Complete = !Servers.empty();
  for (const ServerCounters &Server : Servers)
    Complete = readServer(Source, Server, CallPrefix, Table) && Complete;
  return Complete;
}

std::map<std::string, std::uint64_t> readProbes(const JournalSource &Source) {
  std::map<std::string, std::uint64_t> Out;
  if (Source.Port_ != 0)
    for (const ServerCounters &Server : readCounters(Source))
      Out[Server.Server_] = Server.Probes_;
  return Out;
}

RunsByCall runsByCall(const JournalTable &Table) {
  RunsByCall Out;
  for (const auto &Entry : Table)
    Out[Entry.second.Call_].push_back(Entry.second);
  return Out;
}

} // namespace cumingauge::emulator

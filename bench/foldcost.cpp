// Measures how costs of the control core grow with servers, routes and members:
// applying a change, snapshot, memory, member table and ticks.
#include "adapters/peercodec.h"
#include "control/changelog.h"
#include "control/corestate.h"
#include "control/fold.h"
#include "control/linkchoice.h"
#include "control/storecodec.h"
#include <array>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <sys/resource.h>

using namespace cumingauge;
using namespace cumingauge::control;

namespace {

using Clock = std::chrono::steady_clock;

double microsSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - Start)
      .count();
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

model::BackendServer makeServer(unsigned I) {
  return {"catalogue-" + std::to_string(I),
          "vm-0c2f-" + std::to_string(I),
          "service-" + std::to_string(I % 830),
          "zone-" + std::to_string(I % 9),
          "10.1." + std::to_string(I / 250) + "." + std::to_string(I % 250),
          9000,
          3};
}

model::Preset makePreset(unsigned Routes) {
  model::Preset Out;
  Out.Name_ = "ordinary";
  for (unsigned I = 0; I < Routes; ++I)
    Out.Routes_.push_back({"route-" + std::to_string(I),
                           "/service-" + std::to_string(I) + "/search",
                           "service-" + std::to_string(I), true,
                           model::Priority::Urgent, model::milliseconds(300),
                           4096});
  return Out;
}

model::Change nextEntry(const model::ConfigState &State,
                        model::ChangeAction Action) {
  return {"0f0e7c1a-5d1d-4b8e-9f2a-" + std::to_string(State.Version_),
          "ops",
          State.Version_ + 1,
          0,
          std::move(Action),
          State.LogDigest_};
}

ChangeLog makeLog(unsigned Servers) {
  ChangeLog Log;
  model::ConfigState State;
  for (unsigned I = 0; I < Servers; ++I) {
    const model::BackendServer Server = makeServer(I);
    State.Servers_[Server.Name_] = Server;
  }
  State.Version_ = 1;
  installState(Log, std::move(State), {});
  return Log;
}

/// Returns the peak resident memory of this process in KB.
long peakKb() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return Usage.ru_maxrss;
}

void measureFold(unsigned Servers) {
  const std::size_t Before = heapBytes();
  ChangeLog Log = makeLog(Servers);
  const std::size_t StateBytes = heapBytes() - Before;
  constexpr unsigned Changes = 50;
  const auto Start = Clock::now();
  for (unsigned I = 0; I < Changes; ++I) {
    const model::BackendServer Server = makeServer(I);
    appendEntries(
        Log,
        {nextEntry(*Log.State_, model::MarkLeaving{Server.Name_, Server.Vm_})});
  }
  const double FoldMicros = microsSince(Start) / Changes;
  const auto EncodeStart = Clock::now();
  const std::string Bytes = encodeState(*Log.State_);
  const double EncodeMicros = microsSince(EncodeStart);
  const auto DecodeStart = Clock::now();
  const auto Decoded = decodeState(Bytes);
  const double DecodeMicros = microsSince(DecodeStart);
  std::printf("servers %5u  fold %8.0f us/change  memory %4zu B/server  "
              "snapshot %4zu B/server  encode %8.0f us  decode %8.0f us, peak "
              "+%ld KB%s\n",
              Servers, FoldMicros, StateBytes / Servers, Bytes.size() / Servers,
              EncodeMicros, DecodeMicros, peakKb(), Decoded ? "" : " failed");
}

void measurePreset(unsigned Routes) {
  model::ConfigState State;
  const std::size_t Empty = encodeState(State).size();
  State.Presets_["ordinary"] = makePreset(Routes);
  std::printf("preset with %3u routes: %zu B in a snapshot\n", Routes,
              encodeState(State).size() - Empty);
}

model::Member makeMember(unsigned I) {
  model::Member Out;
  Out.Process_ = "entry-" + std::to_string(I);
  Out.Incarnation_ = 1790000000000ULL + I;
  Out.Zone_ = "zone-" + std::to_string(I % 9);
  Out.Region_ = "region-" + std::to_string(I % 9 % 4);
  Out.Host_ = "10.2.0." + std::to_string(I % 250);
  Out.Port_ = static_cast<std::uint16_t>(7000 + I / 250);
  return Out;
}

template <class T> std::size_t messageBytes(const T &Message) {
  return adapters::encodePeerMessage(Message).size();
}

void measureMembers(unsigned Count) {
  const std::size_t Before = heapBytes();
  CoreSettings Settings;
  Settings.Self_ = makeMember(0);
  const auto State = makeCore(Settings, 1);
  MemberUpdate Table;
  for (unsigned I = 1; I < Count; ++I)
    Table.Members_.push_back(makeMember(I));
  const model::TimePoint Start(std::chrono::hours(1));
  step(*State, Started{}, Start);
  for (LinkId Id = 1; Id <= 8; ++Id)
    step(*State,
         LinkOpened{Id, makeMember(static_cast<unsigned>(Id)), false, true},
         Start);
  step(*State, PeerMessageReceived{1, Table}, Start);
  const std::size_t Bytes = heapBytes() - Before;
  constexpr unsigned Ticks = 6000;
  const auto MeasureStart = Clock::now();
  std::size_t CommandCount = 0;
  Heartbeat Beat;
  Beat.MembersDigest_ = shortDigest(membersDigest(State->Members_));
  for (unsigned I = 1; I <= Ticks; ++I) {
    const model::TimePoint Now = Start + model::milliseconds(100) * I;
    CommandCount += step(*State, Ticked{}, Now).size();
    if (I % 5 != 0)
      continue;
    ++Beat.Sequence_;
    for (LinkId Id = 1; Id <= 8; ++Id)
      CommandCount += step(*State, PeerMessageReceived{Id, Beat}, Now).size();
  }
  const double Micros = microsSince(MeasureStart);
  std::printf("members %4u  memory %5zu B/member  full table %6zu B  "
              "control core %.3f %% of a core with 8 links (%zu commands)\n",
              Count, Bytes / Count, messageBytes(Table),
              Micros / (Ticks * 100000.0) * 100, CommandCount);
}

void measureLinks(unsigned Count) {
  std::vector<model::Member> Members;
  for (unsigned I = 0; I < Count; ++I)
    Members.push_back(makeMember(I));
  std::vector<unsigned> Degree(Count);
  for (unsigned I = 0; I < Count; ++I) {
    std::vector<const model::Member *> Others;
    for (const model::Member &Other : Members)
      if (&Other != &Members[I])
        Others.push_back(&Other);
    for (const model::Member *Peer :
         choosePeers(Members[I], Others, LinkCounts())) {
      ++Degree[I];
      ++Degree[static_cast<std::size_t>(Peer - Members.data())];
    }
  }
  unsigned Max = 0;
  unsigned Sum = 0;
  for (const unsigned Value : Degree) {
    Max = std::max(Max, Value);
    Sum += Value;
  }
  std::printf("members %4u  links per process: mean %.1f, at most %u\n", Count,
              static_cast<double>(Sum) / Count, Max);
}

void measureMessages() {
  Heartbeat Beat;
  Beat.Version_ = 7300000;
  Beat.LogDigest_ = Beat.MembersDigest_ = 0x9e3779b9;
  Beat.Sequence_ = Beat.Echo_ = 1000000;
  Beat.Fresh_ = true;
  Beat.At_ = {1790000000000, 3};
  model::ConfigState State;
  Entries MarkMessage;
  MarkMessage.Changes_ = {
      nextEntry(State, model::MarkLeaving{"catalogue-1", "vm-0c2f-1"})};
  MemberUpdate UpdateMessage;
  UpdateMessage.Members_ = {makeMember(1)};
  std::printf(
      "heartbeat %zu B, one leaving mark %zu B, update of one member %zu "
      "B\n",
      messageBytes(Beat), messageBytes(MarkMessage),
      messageBytes(UpdateMessage));
}

} // namespace

int main() {
  for (const unsigned Servers : {1000U, 5000U, 19000U})
    measureFold(Servers);
  for (const unsigned Routes : {4U, 100U, 830U})
    measurePreset(Routes);
  measureMessages();
  for (const unsigned Members : {14U, 100U, 500U})
    measureMembers(Members);
  for (const unsigned Members : {14U, 50U, 200U, 500U})
    measureLinks(Members);
  return 0;
}

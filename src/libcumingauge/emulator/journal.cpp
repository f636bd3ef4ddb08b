#include "emulator/journal.h"
#include "codec/describedjson.h"
#include <chrono>

namespace cumingauge::emulator {

namespace {

std::uint64_t wallClockUs() {
  using namespace std::chrono;
  return static_cast<std::uint64_t>(
      duration_cast<microseconds>(system_clock::now().time_since_epoch())
          .count());
}

} // namespace

JournalFile::JournalFile(const std::string &Path) : Out_(Path, std::ios::app) {}

void JournalFile::write(const JournalEntry &Entry) {
  const std::string Line = codec::toJson(Entry).dump() + "\n";
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Out_ << Line << std::flush;
}

Journal::Journal(std::string Server, std::size_t Capacity,
                 std::shared_ptr<JournalFile> File)
    : Server_(std::move(Server)), Capacity_(Capacity), File_(std::move(File)) {}

std::uint64_t Journal::begin(std::string Call, std::string Attempt,
                             std::string Path) {
  if (Entries_.size() == Capacity_) {
    Entries_.pop_front();
    ++Dropped_;
  }
  Entries_.push_back({Next_++, Server_, std::move(Call), std::move(Attempt),
                      std::move(Path), wallClockUs(), 0, RunEnd::Running});
  if (File_)
    File_->write(Entries_.back());
  return Entries_.back().Sequence_;
}

void Journal::end(std::uint64_t Sequence, RunEnd End) {
  if (Entries_.empty() || Sequence < Entries_.front().Sequence_)
    return;
  JournalEntry &Entry = Entries_[Sequence - Entries_.front().Sequence_];
  Entry.EndUs_ = wallClockUs();
  Entry.End_ = End;
  if (File_)
    File_->write(Entry);
}

std::string Journal::lines(std::uint64_t After, std::size_t Limit) const {
  std::string Out;
  for (const JournalEntry &Entry : Entries_) {
    if (Entry.Sequence_ <= After)
      continue;
    if (Limit-- == 0)
      break;
    Out += codec::toJson(Entry).dump() + "\n";
  }
  return Out;
}

} // namespace cumingauge::emulator

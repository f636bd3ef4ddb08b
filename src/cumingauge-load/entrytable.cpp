#include "entrytable.h"
#include "emulator/httpcall.h"

namespace cumingauge::load {

namespace {

constexpr model::milliseconds RefusalExclusion{500};
constexpr model::milliseconds ReadinessTimeout{300};

} // namespace

EntryTable::EntryTable(const std::vector<emulator::EntryAddress> &Entries)
    : Entries_(Entries), States_(Entries.size()) {}

const emulator::EntryAddress &EntryTable::address(std::size_t Entry) const {
  return Entries_[Entry];
}

std::optional<std::uint32_t>
EntryTable::nextUsable(std::uint32_t &Cursor, model::TimePoint Now) const {
  for (std::size_t Try = 0; Try < Entries_.size(); ++Try) {
    Cursor = (Cursor + 1) % static_cast<std::uint32_t>(Entries_.size());
    const State &Entry = States_[Cursor];
    if (Entry.Ready_ && Entry.ExcludedUntil_ <= Now.time_since_epoch().count())
      return Cursor;
  }
  return std::nullopt;
}

void EntryTable::recordRefusedConnection(std::uint32_t Entry,
                                         model::TimePoint Now) {
  States_[Entry].ExcludedUntil_ =
      (Now + RefusalExclusion).time_since_epoch().count();
}

void EntryTable::pollReadiness() {
  for (std::size_t I = 0; I < Entries_.size(); ++I) {
    const emulator::EntryAddress &Entry = Entries_[I];
    if (Entry.AdminPort_ == 0)
      continue;
    emulator::HttpCall Call;
    Call.Host_ = Entry.Host_;
    Call.Port_ = Entry.AdminPort_;
    Call.Target_ = "/readyz";
    Call.Timeout_ = ReadinessTimeout;
    const auto Reply = emulator::callHttp(Call);
    States_[I].Ready_ = Reply && Reply->Status_ == 200;
  }
}

} // namespace cumingauge::load

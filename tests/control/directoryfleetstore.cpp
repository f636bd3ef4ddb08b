#include "control/directoryfleet.h"
#include "control/directoryprocess.h"

/// The directory of a DirectoryFleet.
namespace cumingauge::control::fakes {

using ports::DirectoryOperation;
using ports::DirectoryTopic;

void DirectoryFleet::execute(unsigned Number, const CallDirectory &Command) {
  const ports::DirectoryRequest &Asked = Command.Request_;
  if (Cut_.count(Number))
    return answer(Number, Command.Call_, failure());
  if (Asked.Operation_ == DirectoryOperation::Ping)
    ++Pings_;
  else if (Asked.Operation_ == DirectoryOperation::Poll)
    ++Polls_;
  else
    ++Calls_[Number];
  if (Away_)
    return answer(Number, Command.Call_, failure());
  ports::DirectoryResponse Answer;
  Answer.Revision_ = Stored_.Revision_;
  switch (Asked.Operation_) {
  case DirectoryOperation::Poll:
    if (isCompacted(Asked.After_))
      Answer = compacted();
    else
      fill(Answer, Asked.Topic_, Asked.After_);
    break;
  case DirectoryOperation::Watch:
    if (isCompacted(Asked.After_)) {
      Answer = compacted();
      break;
    }
    Watches_.push_back({Number, Asked.Topic_, Command.Call_, Asked.After_,
                        Now_ + Asked.Wait_});
    return answerWatches();
  case DirectoryOperation::Announce:
    Stored_.Announced_[Asked.Self_.Process_] = Asked.Self_;
    break;
  case DirectoryOperation::Read:
    if (Asked.Topic_ == DirectoryTopic::Members &&
        std::exchange(RestoresDuringRead_, false)) {
      restoreFromCopy();
      Answer.Revision_ = Stored_.Revision_;
    }
    fill(Answer, Asked.Topic_, 0);
    if (Asked.Topic_ == DirectoryTopic::Servers && PageSize_ > 0)
      cutPage(Answer, Asked.Page_);
    break;
  case DirectoryOperation::Claim:
  case DirectoryOperation::Ping:
    break;
  }
  answer(Number, Command.Call_, Answer);
}

/// Adds the content of a topic, or what has changed in it after a revision.
void DirectoryFleet::fill(ports::DirectoryResponse &Answer,
                          DirectoryTopic Topic, std::uint64_t After) const {
  if (Topic == DirectoryTopic::Configuration &&
      Stored_.ConfigRevision_ > After) {
    Answer.Configuration_.emplace();
    Answer.Configuration_->Version_ = Stored_.ConfigVersion_;
    Answer.Configuration_->Preset_.Name_ =
        "version " + std::to_string(Stored_.ConfigVersion_);
  }
  if (Topic == DirectoryTopic::Configuration && After == 0)
    for (const std::string &Zone : Stored_.EvacuatedZones_)
      Answer.Zones_.push_back({Zone, true});
  if (Topic == DirectoryTopic::Configuration && After > 0)
    for (const auto &[Revision, Request] : Stored_.ZoneLog_)
      if (Revision > After)
        Answer.Zones_.push_back(Request);
  if (Topic == DirectoryTopic::Servers && After == 0)
    for (const auto &Entry : Stored_.Entries_)
      Answer.Servers_.push_back(Entry.second);
  if (Topic == DirectoryTopic::Servers && After > 0)
    for (const auto &[Revision, Entry] : Stored_.Log_)
      if (Revision > After)
        Answer.Servers_.push_back(Entry);
  if (Topic == DirectoryTopic::Members)
    for (const auto &Entry : Stored_.Announced_)
      Answer.Members_.push_back(Entry.second);
}

void DirectoryFleet::cutPage(ports::DirectoryResponse &Answer,
                             const std::string &After) const {
  std::vector<ports::ServerEntry> Rest;
  for (const ports::ServerEntry &Entry : Answer.Servers_)
    if (Entry.Name_ > After)
      Rest.push_back(Entry);
  if (Rest.size() > PageSize_) {
    Rest.resize(PageSize_);
    Answer.Next_ = Rest.back().Name_;
  }
  Answer.Servers_ = std::move(Rest);
}

void DirectoryFleet::answerWatches() {
  if (Away_)
    return;
  for (std::size_t I = 0; I < Watches_.size();) {
    const Watch Asked = Watches_[I];
    ports::DirectoryResponse Answer;
    Answer.Revision_ = Stored_.Revision_;
    if (isCompacted(Asked.After_))
      Answer = compacted();
    else
      fill(Answer, Asked.Topic_, Asked.After_);
    const bool HasNews = Answer.IsCompacted_ || Answer.Configuration_ ||
                         !Answer.Zones_.empty() || !Answer.Servers_.empty();
    !Answer.Servers_.empty();
    if (!HasNews || !isReachable(Asked.Process_)) {
      ++I;
      continue;
    }
    Watches_.erase(Watches_.begin() + static_cast<std::ptrdiff_t>(I));
    answer(Asked.Process_, Asked.Call_, Answer);
    I = 0;
  }
}

} // namespace cumingauge::control::fakes

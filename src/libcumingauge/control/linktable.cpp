#include "control/linktable.h"
#include <set>

namespace cumingauge::control {

namespace {

template <class T, class Table> std::vector<T *> onePerProcess(Table &Links) {
  std::vector<T *> Out;
  std::set<std::string> Seen;
  for (auto &[Id, Value] : Links)
    if (!Value.Operator_ && Seen.insert(Value.Peer_.Process_).second)
      Out.push_back(&Value);
  return Out;
}

} // namespace

std::vector<Link *> peerLinks(LinkTable &Table) {
  return onePerProcess<Link>(Table.Links_);
}

std::vector<const Link *> peerLinks(const LinkTable &Table) {
  return onePerProcess<const Link>(Table.Links_);
}

Link *findLink(LinkTable &Table, LinkId Id) {
  const auto Found = Table.Links_.find(Id);
  return Found == Table.Links_.end() ? nullptr : &Found->second;
}

const Link *findLinkTo(const LinkTable &Table, const std::string &Process) {
  for (const auto &[Id, Value] : Table.Links_)
    if (!Value.Operator_ && Value.Peer_.Process_ == Process)
      return &Value;
  return nullptr;
}

const Link *findReaderLinkTo(const LinkTable &Table,
                             const std::string &Process) {
  for (const auto &[Id, Value] : Table.Links_)
    if (!Value.Operator_ && !Value.IsForCredit_ &&
        Value.Peer_.Process_ == Process)
      return &Value;
  return nullptr;
}

} // namespace cumingauge::control

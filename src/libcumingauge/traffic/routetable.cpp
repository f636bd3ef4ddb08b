#include "traffic/routetable.h"
#include <algorithm>

namespace cumingauge::traffic {

namespace {

std::string_view commonPrefix(std::string_view A, std::string_view B) {
  const std::size_t Shorter = std::min(A.size(), B.size());
  const auto End = std::mismatch(A.begin(), A.begin() + Shorter, B.begin());
  return A.substr(0, static_cast<std::size_t>(End.first - A.begin()));
}

} // namespace

RouteTable::RouteTable(const std::vector<model::Route> &Routes) {
  for (const model::Route &Route : Routes)
    ByPrefix_[Route.PathPrefix_] = std::make_shared<const model::Route>(Route);
}

std::shared_ptr<const model::Route>
RouteTable::find(std::string_view Path) const {
  // Every prefix of Path sorts before it; the nearest smaller entry either is
  // one or shows how far a shorter one can reach.
  std::string_view Key = Path;
  while (true) {
    auto Next = ByPrefix_.upper_bound(Key);
    if (Next == ByPrefix_.begin())
      return nullptr;
    const auto Candidate = std::prev(Next);
    const std::string_view Common = commonPrefix(Key, Candidate->first);
    if (Common.size() == Candidate->first.size())
      return Candidate->second;
    Key = Common;
  }
}

} // namespace cumingauge::traffic

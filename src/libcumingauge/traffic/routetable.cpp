#include "traffic/routetable.h"
#include <algorithm>
#include <cctype>
#include <cmath>
#define XXH_INLINE_ALL // the CMake package has no target to link
#include <xxhash.h>

namespace cumingauge::traffic {

namespace {

std::string_view commonPrefix(std::string_view A, std::string_view B) {
  const std::size_t Shorter = std::min(A.size(), B.size());
  const auto End = std::mismatch(A.begin(), A.begin() + Shorter, B.begin());
  return A.substr(0, static_cast<std::size_t>(End.first - A.begin()));
}

/// Fractional part of the golden ratio. Multiples of it modulo 1 are spread
/// evenly over 0 to 1 for any number of calls, so that each service gets its
/// share of even a few calls.
constexpr double GoldenRatioFraction = 0.6180339887498949;

double fraction(double Value) { return Value - std::floor(Value); }

/// Returns a value from 0 to 1 that differs between routes, so that one process
/// does not choose the same position in all of them.
double hashFraction(const model::Route &Route) {
  const std::string Key = Route.Host_ + '\0' + Route.PathPrefix_;
  constexpr double Whole = 18446744073709551616.0; // 2^64
  return static_cast<double>(XXH64(Key.data(), Key.size(), 0)) / Whole;
}

/// Returns the host in lower case and without its port: host names are compared
/// without regard to case, and routes do not depend on the port.
std::string normalizedHost(std::string_view Host) {
  std::string Out(Host.substr(0, Host.find(':')));
  std::transform(Out.begin(), Out.end(), Out.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  return Out;
}

} // namespace

RouteTable::RouteTable(const std::vector<model::Route> &Routes,
                       double StartPosition) {
  for (const model::Route &Route : Routes) {
    Entry &Added = ByHost_[normalizedHost(Route.Host_)][Route.PathPrefix_];
    Added = {std::make_shared<const model::Route>(Route),
             {},
             fraction(StartPosition + hashFraction(Route))};
    double Total = 0;
    for (const model::RoutePart &Part : Route.Parts_)
      Total += Part.Weight_;
    double End = 0;
    for (const model::RoutePart &Part : Route.Parts_) {
      End += Total > 0 ? Part.Weight_ / Total : 1;
      model::Route ForService = Route;
      ForService.Service_ = Part.Service_;
      Added.Parts_.emplace_back(
          End, std::make_shared<const model::Route>(std::move(ForService)));
    }
  }
}

void RouteTable::replaceRoutes(const std::vector<model::Route> &Routes,
                               double StartPosition) {
  RouteTable Replaced(Routes, StartPosition);
  for (auto &[Host, Prefixes] : Replaced.ByHost_)
    for (auto &[Prefix, Added] : Prefixes)
      if (const Entry *Former = findExact(Host, Prefix);
          Former && Former->Route_->Parts_ == Added.Route_->Parts_)
        Added.SharePosition_ = Former->SharePosition_;
  ByHost_ = std::move(Replaced.ByHost_);
}

std::shared_ptr<const model::Route>
RouteTable::find(std::string_view Path, std::string_view Host) const {
  const Entry *Found = findEntry(Host, Path);
  return Found ? Found->Route_ : nullptr;
}

std::shared_ptr<const model::Route> RouteTable::choose(std::string_view Host,
                                                       std::string_view Path) {
  auto *Found = const_cast<Entry *>(findEntry(Host, Path));
  if (!Found)
    return nullptr;
  if (Found->Parts_.empty())
    return Found->Route_;
  Found->SharePosition_ = fraction(Found->SharePosition_ + GoldenRatioFraction);
  for (const auto &[End, Route] : Found->Parts_)
    if (Found->SharePosition_ < End)
      return Route;
  return Found->Parts_.back().second;
}

const RouteTable::Entry *
RouteTable::findExact(const std::string &Host,
                      const std::string &Prefix) const {
  const auto Routes = ByHost_.find(Host);
  if (Routes == ByHost_.end())
    return nullptr;
  const auto Found = Routes->second.find(Prefix);
  return Found == Routes->second.end() ? nullptr : &Found->second;
}

const RouteTable::Entry *RouteTable::findEntry(std::string_view Host,
                                               std::string_view Path) const {
  for (const std::string &Key : {normalizedHost(Host), std::string()}) {
    const auto Routes = ByHost_.find(Key);
    if (Routes == ByHost_.end())
      continue;
    if (const Entry *Found = findLongestPrefix(Routes->second, Path))
      return Found;
  }
  return nullptr;
}

const RouteTable::Entry *RouteTable::findLongestPrefix(const ByPrefix &Routes,
                                                       std::string_view Path) {
  // Every prefix of Path sorts before Path. The largest entry that is not above
  // Key is either a prefix of Key, or no prefix can be longer than what the two
  // have in common; the search then goes on with that common part.
  std::string_view Key = Path;
  while (true) {
    auto Next = Routes.upper_bound(Key);
    if (Next == Routes.begin())
      return nullptr;
    const auto Candidate = std::prev(Next);
    const std::string_view Common = commonPrefix(Key, Candidate->first);
    if (Common.size() == Candidate->first.size())
      return &Candidate->second;
    Key = Common;
  }
}

} // namespace cumingauge::traffic

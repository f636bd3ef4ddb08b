#pragma once

#include "model/route.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cumingauge::traffic {

/// The routes of a preset, found by host and the longest matching path prefix.
class RouteTable {
public:
  RouteTable() = default;
  /// \param StartPosition first value, 0 to 1, of the sequence that shares the
  /// calls of a route among services. It differs between processes so that
  /// processes that start together do not all choose the same services.
  explicit RouteTable(const std::vector<model::Route> &Routes,
                      double StartPosition = 0);

  /// Replaces the routes. A route that shares its calls among the same services
  /// by the same weights as before goes on with its sequence, so that frequent
  /// changes do not always give the first calls to the same service.
  void replaceRoutes(const std::vector<model::Route> &Routes,
                     double StartPosition);

  /// Returns the route of the longest matching path prefix, or null when none
  /// matches.
  /// \param Host a port in it is ignored. Routes of this host come first, then
  /// routes for any host.
  std::shared_ptr<const model::Route> find(std::string_view Path,
                                           std::string_view Host = {}) const;

  /// Returns the route for a call that is going to be sent. When several
  /// services share the calls of the route, chooses one of them by weight and
  /// counts the call in its sequence.
  std::shared_ptr<const model::Route> choose(std::string_view Host,
                                             std::string_view Path);

private:
  struct Entry {
    std::shared_ptr<const model::Route> Route_;
    /// One route for each service, with the upper end of its share of 0 to 1.
    std::vector<std::pair<double, std::shared_ptr<const model::Route>>> Parts_;
    /// Current value, 0 to 1, of the sequence that shares the calls; the
    /// service whose share contains it gets the call.
    double SharePosition_ = 0;
  };
  using ByPrefix = std::map<std::string, Entry, std::less<>>;

  static const Entry *findLongestPrefix(const ByPrefix &Routes,
                                        std::string_view Path);
  const Entry *findExact(const std::string &Host,
                         const std::string &Prefix) const;
  const Entry *findEntry(std::string_view Host, std::string_view Path) const;

  std::map<std::string, ByPrefix, std::less<>> ByHost_;
};

} // namespace cumingauge::traffic

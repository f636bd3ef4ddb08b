#include "platform/serverentry.h"
#include "adapters/addresssettings.h"
#include "platform/jsonfields.h"
#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace cumingauge::platform {

namespace {

constexpr const char *Ready = "ready";
constexpr const char *Draining = "draining";
/// Largest values that a server can have; larger ones are errors of the writer.
constexpr std::uint64_t MaxSlots = 65536;
constexpr double MaxColdMs = 24.0 * 60 * 60 * 1000;

/// Returns the start time of a server as text, which distinguishes two starts
/// with the same id. Empty when the entry has none; nothing when it is invalid.
std::optional<std::string> readIncarnation(const Json &Entry) {
  if (!findField(Entry, "born"))
    return std::string();
  const auto Born = countField(Entry, "born");
  if (!Born)
    return std::nullopt;
  return std::to_string(*Born);
}

/// Returns whether an id can be sent in a header field.
bool isValidId(const std::string &Id) {
  return !Id.empty() && std::all_of(Id.begin(), Id.end(),
                                    [](char C) { return C > ' ' && C < 0x7f; });
}

bool isIpAddress(const std::string &Host) {
  boost::system::error_code Failed;
  boost::asio::ip::make_address(Host, Failed);
  return !Failed;
}

} // namespace

std::optional<ports::ListedServer> readServerEntry(const std::string &Id,
                                                   std::string_view Document) {
  const Json Entry = parseDocument(Document);
  const Json *Information = findField(Entry, "information");
  const Json *Status = findField(Entry, "status");
  const auto Address = textField(Entry, "address");
  const auto Incarnation = readIncarnation(Entry);
  if (!isValidId(Id) || !Information || !Status || !Address || !Incarnation)
    return std::nullopt;
  const auto Service = textField(*Information, "service");
  const auto Zone = textField(*Information, "zone");
  const auto Slots = countField(*Information, "slots");
  const auto State = textField(*Status, "state");
  const auto ColdRemainingMs = numberField(*Status, "cold-remaining-ms");
  adapters::AddressSettings Endpoint;
  const bool IsComplete =
      Service && Zone && Slots && State && ColdRemainingMs && *Slots > 0 &&
      *Slots <= MaxSlots && *ColdRemainingMs <= MaxColdMs &&
      textField(*Information, "version") && countField(*Status, "sequence") &&
      (*State == Ready || *State == Draining) && readText(*Address, Endpoint) &&
      Endpoint.Port_ > 0 && isIpAddress(Endpoint.Host_);
  if (!IsComplete)
    return std::nullopt;
  ports::ListedServer Out;
  Out.Server_.Name_ = Id;
  Out.Server_.Vm_ = Id + "/" + *Incarnation;
  Out.Server_.Service_ = *Service;
  Out.Server_.Zone_ = *Zone;
  Out.Server_.Host_ = Endpoint.Host_;
  Out.Server_.Port_ = Endpoint.Port_;
  Out.Server_.Slots_ = static_cast<unsigned>(*Slots);
  Out.Server_.ColdFor_ = model::milliseconds(
      static_cast<long long>(std::max(*ColdRemainingMs, 0.0)));
  Out.Leaving_ = *State == Draining;
  return Out;
}

} // namespace cumingauge::platform

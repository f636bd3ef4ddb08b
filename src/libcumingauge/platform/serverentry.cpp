#include "platform/serverentry.h"
#include "adapters/addresssettings.h"
#include "platform/jsonfields.h"
#include <boost/asio/ip/address.hpp>
#include <limits>

namespace cumingauge::platform {

namespace {

constexpr const char *Ready = "ready";
constexpr const char *Draining = "draining";

/// Tells two starts under one id apart; empty when the entry does not say.
std::optional<std::string> readStart(const Json &Entry) {
  if (!findField(Entry, "born"))
    return std::string();
  const auto Born = countField(Entry, "born");
  if (!Born)
    return std::nullopt;
  return std::to_string(*Born);
}

bool isIpNumber(const std::string &Host) {
  boost::system::error_code Failed;
  boost::asio::ip::make_address(Host, Failed);
  return !Failed;
}

} // namespace

std::optional<ports::ListedServer> readServerEntry(const std::string &Id,
                                                   std::string_view Document) {
  const Json Entry = Json::parse(Document, /*cb=*/nullptr,
                                 /*allow_exceptions=*/false);
  const Json *Information = findField(Entry, "information");
  const Json *Status = findField(Entry, "status");
  const auto Address = textField(Entry, "address");
  const auto Start = readStart(Entry);
  if (Id.empty() || !Information || !Status || !Address || !Start)
    return std::nullopt;
  const auto Service = textField(*Information, "service");
  const auto Zone = textField(*Information, "zone");
  const auto Slots = countField(*Information, "slots");
  const auto State = textField(*Status, "state");
  const auto Cold = numberField(*Status, "cold-remaining-ms");
  adapters::AddressSettings Endpoint;
  const bool IsComplete =
      Service && Zone && Slots && State && Cold && *Slots > 0 &&
      *Slots <= std::numeric_limits<unsigned>::max() &&
      textField(*Information, "version") && countField(*Status, "sequence") &&
      (*State == Ready || *State == Draining) && readText(*Address, Endpoint) &&
      isIpNumber(Endpoint.Host_);
  if (!IsComplete)
    return std::nullopt;
  ports::ListedServer Out;
  Out.Server_.Name_ = Id;
  Out.Server_.Vm_ = Id + "/" + *Start;
  Out.Server_.Service_ = *Service;
  Out.Server_.Zone_ = *Zone;
  Out.Server_.Host_ = Endpoint.Host_;
  Out.Server_.Port_ = Endpoint.Port_;
  Out.Server_.Slots_ = static_cast<unsigned>(*Slots);
  Out.Server_.ColdFor_ =
      model::milliseconds(static_cast<long long>(std::max(*Cold, 0.0)));
  Out.Leaving_ = *State == Draining;
  return Out;
}

} // namespace cumingauge::platform

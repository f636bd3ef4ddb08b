#include "platform/claimentry.h"
#include "codec/base64.h"
#include "codec/describedjson.h"
#include "platform/wirenames.h"
#include <charconv>

namespace cumingauge::platform {

namespace {

std::optional<unsigned> partFromKey(const std::string &Key) {
  const std::string_view Prefix = wirenames::CreditClaimsPrefix;
  if (Key.rfind(Prefix, 0) != 0)
    return std::nullopt;
  unsigned Out = 0;
  const char *End = Key.data() + Key.size();
  const auto [Stop, Failed] =
      std::from_chars(Key.data() + Prefix.size(), End, Out);
  if (Failed != std::errc() || Stop != End)
    return std::nullopt;
  return Out;
}

} // namespace

std::optional<std::string> valueOf(const Json &Item) {
  const auto Text = textField(Item, "value");
  return Text ? codec::decodeBase64(*Text) : std::nullopt;
}

std::string claimBody(const ports::ListedClaim &Claim) {
  const std::string Key =
      wirenames::CreditClaimsPrefix + std::to_string(Claim.Part_);
  const Json Put{
      {"key", Key},
      {"value", codec::encodeBase64(codec::toJson(Claim.Claim_).dump())},
      {"lease", 0}};
  const Json Condition{{"key", Key}, {"revision", Claim.Revision_}};
  return Json{{"expected-revision", Json::array({Condition})},
              {"puts", Json::array({Put})},
              {"deletes", Json::array()}}
      .dump();
}

std::optional<ports::ListedClaim> readClaim(const Json &Item) {
  const auto Part = partFromKey(textField(Item, "key").value_or(""));
  const std::uint64_t Revision = countField(Item, "revision").value_or(0);
  if (!Part || Revision == 0)
    return std::nullopt;
  ports::ListedClaim Out{*Part, {}, Revision, true};
  const auto Value = valueOf(Item);
  model::Problems Found;
  if (Value)
    codec::fromJson(parseDocument(*Value), "", Out.Claim_, Found);
  if (Value && Found.empty())
    return Out;
  Out.Claim_ = {};
  Out.IsReadable_ = false;
  return Out;
}

} // namespace cumingauge::platform

#include "emulator/storeanswers.h"
#include "codec/base64.h"
#include "emulator/jsonanswer.h"

namespace cumingauge::emulator {

using codec::Json;
using model::milliseconds;

namespace {

const std::string KeyPath = "/v1/kv/";

Json keyEntry(const std::string &Key, const StoredValue &Stored) {
  Json Entry = {{"Key", Key},
                {"Value", codec::encodeBase64(Stored.Value_)},
                {"Flags", 0},
                {"CreateIndex", Stored.CreateIndex_},
                {"ModifyIndex", Stored.ModifyIndex_}};
  if (!Stored.Session_.empty())
    Entry["Session"] = Stored.Session_;
  return Entry;
}

} // namespace

std::optional<std::string> keyOfTarget(const Target &Where) {
  if (Where.Path_.rfind(KeyPath, 0) != 0)
    return std::nullopt;
  return Where.Path_.substr(KeyPath.size());
}

bool isRecursive(const Target &Where) {
  return Where.has("recurse") || Where.has("keys");
}

milliseconds parseWait(const std::string &Text, milliseconds Default) {
  std::size_t Used = 0;
  long Number = 0;
  try {
    Number = std::stol(Text, &Used);
  } catch (const std::exception &) {
    return Default;
  }
  const std::string Unit = Text.substr(Used);
  if (Unit == "ms")
    return milliseconds(Number);
  if (Unit == "s")
    return std::chrono::seconds(Number);
  return Unit == "m" ? milliseconds(std::chrono::minutes(Number)) : Default;
}

HttpAnswer keyAnswer(const StoreModel &Store, const Target &Where,
                     const std::string &Key) {
  const bool Recursive = isRecursive(Where);
  std::vector<std::string> Keys;
  if (Recursive)
    Keys = keysWithPrefix(Store, Key);
  else if (findKey(Store, Key))
    Keys = {Key};
  Json List = Json::array();
  for (const std::string &Found : Keys)
    List.push_back(Where.has("keys") ? Json(Found)
                                     : keyEntry(Found, *findKey(Store, Found)));
  HttpAnswer Out = Keys.empty() ? textAnswer(404, "") : jsonAnswer(200, List);
  const std::uint64_t Index = watchIndex(Store, Key, Recursive);
  Out.Fields_.push_back(
      {"X-Consul-Index", std::to_string(Index ? Index : Store.Index_)});
  return Out;
}

HttpAnswer vmListAnswer(const std::vector<ListedVm> &Vms) {
  Json List = Json::array();
  for (const ListedVm &Vm : Vms)
    List.push_back(
        {{"Node", Vm.Vm_},
         {"Address", Vm.Address_},
         {"Meta",
          {{"leaving", Vm.Leaving_ ? "true" : "false"}, {"role", Vm.Role_}}}});
  return jsonAnswer(200, List);
}

} // namespace cumingauge::emulator

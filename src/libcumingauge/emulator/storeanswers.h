#pragma once

#include "emulator/httpmessage.h"
#include "emulator/storemodel.h"
#include "emulator/storesettings.h"
#include <string>
#include <vector>

/// Functions for the Consul paths: they parse request targets and write the
/// state of the store as JSON.
namespace cumingauge::emulator {

/// Returns the key or prefix of a /v1/kv/ target; nothing for another path.
std::optional<std::string> keyOfTarget(const Target &Where);

/// Returns true when a target asks for all keys below a prefix.
bool isRecursive(const Target &Where);

/// Parses a duration such as "10s", "500ms" or "2m"; returns \p Default for
/// anything else.
model::milliseconds parseWait(const std::string &Text,
                              model::milliseconds Default);

/// Returns the answer to a read of a key or prefix in the present state.
HttpAnswer keyAnswer(const StoreModel &Store, const Target &Where,
                     const std::string &Key);

/// Returns the VM list in the form of /v1/catalog/nodes.
HttpAnswer vmListAnswer(const std::vector<ListedVm> &Vms);

} // namespace cumingauge::emulator

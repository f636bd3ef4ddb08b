#pragma once

#include "emulator/httpmessage.h"
#include "emulator/storemodel.h"
#include "emulator/storesettings.h"
#include <string>
#include <vector>

/// The Consul paths as plain functions: how a target is read and how the
/// state of the store is written as JSON.
namespace cumingauge::emulator {

/// Key or prefix of a /v1/kv/ target; nothing for another path.
std::optional<std::string> keyOfTarget(const Target &Where);

/// Whether a target asks for all keys below a prefix.
bool isRecursive(const Target &Where);

/// Reads "10s", "500ms" or "2m"; \p Default for anything else.
model::milliseconds parseWait(const std::string &Text,
                              model::milliseconds Default);

/// What a read of a key or prefix answers now.
HttpAnswer keyAnswer(const StoreModel &Store, const Target &Where,
                     const std::string &Key);

/// The VM list as /v1/catalog/nodes.
HttpAnswer vmListAnswer(const std::vector<ListedVm> &Vms);

} // namespace cumingauge::emulator

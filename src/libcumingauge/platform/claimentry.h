#pragma once

#include "platform/jsonfields.h"
#include "ports/creditclaim.h"
#include <optional>
#include <string>

/// Entries of the metadata store that say who issues the credit of quotas.
namespace cumingauge::platform {

/// Returns the decoded value of an item; nothing when the item was deleted or
/// its value is not valid base64.
std::optional<std::string> valueOf(const Json &Item);

/// Returns the body of the transaction that writes a claim if its entry is
/// still at Revision_.
std::string claimBody(const ports::ListedClaim &Claim);

/// Reads an item. Nothing is returned when its key names no part or its
/// revision is missing. A claim whose value cannot be read is returned without
/// content: its revision is needed to replace it.
std::optional<ports::ListedClaim> readClaim(const Json &Item);

} // namespace cumingauge::platform

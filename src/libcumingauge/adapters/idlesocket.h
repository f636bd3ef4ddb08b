#pragma once

namespace cumingauge::adapters {

/// Returns whether the peer of an idle connection has closed it or has sent
/// bytes that belong to no request. Does not block and takes no bytes.
/// \param Socket native handle of the connection.
bool isSocketStale(int Socket);

/// Returns whether the kernel holds bytes that the peer has not acknowledged.
/// \param Socket native handle of the connection.
bool hasUnsentBytes(int Socket);

} // namespace cumingauge::adapters

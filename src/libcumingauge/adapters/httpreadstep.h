#pragma once

namespace cumingauge::adapters {

/// Result of parsing the bytes that were read so far.
enum class ReadStep {
  NeedMore, ///< more bytes must be read
  Head,     ///< the head is complete
  Body,     ///< a piece of the body is available
  End,      ///< the message is complete
  Failed    ///< the message is malformed or too large
};

} // namespace cumingauge::adapters

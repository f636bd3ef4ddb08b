#pragma once

namespace cumingauge::adapters {

/// What the bytes read so far have brought.
enum class ReadStep { NeedMore, Head, Body, End, Failed };

} // namespace cumingauge::adapters

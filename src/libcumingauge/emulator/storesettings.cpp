#include "emulator/storesettings.h"

namespace cumingauge::emulator {

model::Problems checkSettings(const StoreSettings &Settings) {
  model::Problems Found;
  if (Settings.WritesPerSecond_ < 0)
    Found.push_back({"/writesPerSecond", "must not be negative"});
  if (Settings.ReadsPerSecond_ < 0)
    Found.push_back({"/readsPerSecond", "must not be negative"});
  if (Settings.MaxValueBytes_ < 1)
    Found.push_back({"/maxValueBytes", "must be at least 1 byte"});
  return Found;
}

} // namespace cumingauge::emulator

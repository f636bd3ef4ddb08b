#include "policy/stalleduploads.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

constexpr unsigned CallsPerStalledUpload = 4;

} // namespace

unsigned uploadsToGiveUp(const ServiceUploads &Uploads) {
  if (Uploads.Waiting_ > 0)
    return Uploads.Stalled_;
  const unsigned Allowed =
      std::max(1U, Uploads.Running_ / CallsPerStalledUpload);
  return Uploads.Stalled_ - std::min(Uploads.Stalled_, Allowed);
}

} // namespace cumingauge::policy

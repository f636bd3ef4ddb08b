#pragma once

#include "adapters/controlruntime.h"
#include "adapters/log.h"
#include "emulator/describe.h"
#include "model/problem.h"
#include <string>
#include <vector>

namespace cumingauge::emulator {

/// One entry of the platform's VM list.
struct ListedVm {
  std::string Vm_;
  std::string Address_;
  std::string Role_ = "backend"; ///< "cumingauge" or "backend"
  bool Leaving_ = false;
};
BOOST_DESCRIBE_STRUCT(ListedVm, (), (Vm_, Address_, Role_, Leaving_))

/// Faults that the emulated store injects. Any of these keys can be changed at
/// runtime with POST /control.
struct StoreFaults {
  bool Down_ = false;           ///< drops every request without effect
  model::milliseconds Slow_{0}; ///< delay of each answer
  unsigned LoseAnswers_ = 0; ///< next writes that take effect but get no answer
  /// Next writes that get no answer and take effect later.
  unsigned LandLate_ = 0;
  model::milliseconds LandLateBy_{500}; ///< delay of these writes
  model::milliseconds VmListLag_{0};    ///< until a change of Vms_ is served
  std::vector<ListedVm> Vms_;
};
BOOST_DESCRIBE_STRUCT(StoreFaults, (),
                      (Down_, Slow_, LoseAnswers_, LandLate_, LandLateBy_,
                       VmListLag_, Vms_))

/// Settings of the emulated key-value service.
struct StoreSettings {
  adapters::AddressSettings Listen_;
  adapters::LogSettings Log_;
  double WritesPerSecond_ = 500; ///< 0 sets no limit
  double ReadsPerSecond_ = 2000;
  std::uint64_t MaxValueBytes_ = 1048576;
  StoreFaults Faults_;
};
BOOST_DESCRIBE_STRUCT(StoreSettings, (),
                      (Listen_, Log_, WritesPerSecond_, ReadsPerSecond_,
                       MaxValueBytes_, Faults_))

/// Returns the settings that are out of range; empty when all are valid.
model::Problems checkSettings(const StoreSettings &Settings);

/// State of the store and requests since the start. A watch counts as one read.
struct StoreCounters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Watches_ = 0; ///< reads that are watches
  std::uint64_t VmLists_ = 0; ///< reads of the VM list
  std::uint64_t RateLimited_ = 0;
  std::uint64_t Dropped_ = 0; ///< requests that got no answer
  std::uint64_t Index_ = 0;   ///< of the last write
  std::uint64_t Keys_ = 0;
  std::uint64_t Waiting_ = 0; ///< watches that wait at present
};
BOOST_DESCRIBE_STRUCT(StoreCounters, (),
                      (Reads_, Writes_, Watches_, VmLists_, RateLimited_,
                       Dropped_, Index_, Keys_, Waiting_))

} // namespace cumingauge::emulator

#pragma once

#include "adapters/controlruntime.h"
#include "adapters/log.h"
#include "emulator/describe.h"
#include "model/problem.h"
#include <string>
#include <vector>

namespace cumingauge::emulator {

/// One VM of the platform's list.
struct ListedVm {
  std::string Vm_;
  std::string Address_;
  std::string Role_ = "backend"; ///< "cumingauge" or "backend"
  bool Leaving_ = false;
};
BOOST_DESCRIBE_STRUCT(ListedVm, (), (Vm_, Address_, Role_, Leaving_))

/// How the stand-in misbehaves at present. Set while it runs by POST /control
/// with any of these keys.
struct StoreFaults {
  bool Down_ = false;           ///< drops every call without effect
  model::milliseconds Slow_{0}; ///< added before each answer
  unsigned LoseAnswers_ = 0;    ///< next writes that take effect unanswered
  unsigned LandLate_ = 0;       ///< next writes dropped and done later
  model::milliseconds LandLateBy_{500};
  model::milliseconds VmListLag_{0};
  std::vector<ListedVm> Vms_;
};
BOOST_DESCRIBE_STRUCT(StoreFaults, (),
                      (Down_, Slow_, LoseAnswers_, LandLate_, LandLateBy_,
                       VmListLag_, Vms_))

/// Settings of the stand-in for the platform's key-value service.
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

/// Range checks; empty when valid.
model::Problems checkSettings(const StoreSettings &Settings);

/// Calls counted since the start. A waiting watch is one read.
struct StoreCounters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Watches_ = 0; ///< of the reads
  std::uint64_t VmLists_ = 0; ///< of the reads
  std::uint64_t RateLimited_ = 0;
  std::uint64_t Dropped_ = 0;
  std::uint64_t Index_ = 0;
  std::uint64_t Keys_ = 0;
  std::uint64_t Waiting_ = 0; ///< watches that wait now
};
BOOST_DESCRIBE_STRUCT(StoreCounters, (),
                      (Reads_, Writes_, Watches_, VmLists_, RateLimited_,
                       Dropped_, Index_, Keys_, Waiting_))

} // namespace cumingauge::emulator

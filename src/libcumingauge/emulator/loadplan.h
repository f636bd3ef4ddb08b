#pragma once

#include "codec/describedjson.h"
#include "emulator/describe.h"
#include "model/problem.h"
#include "model/time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::emulator {

/// An entry process that callers connect to.
struct EntryAddress {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  std::uint16_t AdminPort_ = 0; ///< port of /readyz; 0 to skip readiness checks
};
BOOST_DESCRIBE_STRUCT(EntryAddress, (), (Host_, Port_, AdminPort_))

/// One kind of calls.
struct LoadRoute {
  std::string Name_;
  std::string Method_ = "GET";
  std::string Path_ = "/";
  double CallsPerSecond_ = 0; ///< mean over all callers
  bool Idempotent_ = false;
  std::uint64_t RequestBytes_ = 0;
  std::uint64_t AnswerBytes_ = 512;
  model::milliseconds Deadline_{0}; ///< sent with the call; 0 sends none
  double CancelShare_ = 0; ///< share of the calls that their callers cancel
  model::milliseconds CancelAfter_{5}; ///< time from start to cancellation
};
BOOST_DESCRIBE_STRUCT(LoadRoute, (),
                      (Name_, Method_, Path_, CallsPerSecond_, Idempotent_,
                       RequestBytes_, AnswerBytes_, Deadline_, CancelShare_,
                       CancelAfter_))

/// A part of the run, reported separately. It lasts from From_ to the start of
/// the next phase; all rates are multiplied by RateFactor_.
struct LoadPhase {
  std::string Name_;
  model::milliseconds From_{0};
  double RateFactor_ = 1;
};
BOOST_DESCRIBE_STRUCT(LoadPhase, (), (Name_, From_, RateFactor_))

/// A request that is sent once during the run, for example to inject a fault.
struct LoadAction {
  model::milliseconds At_{0};
  std::string Label_; ///< shown in the plot
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  std::string Method_ = "POST";
  std::string Target_ = "/control";
  codec::Json Body_ = codec::Json::object();
};
BOOST_DESCRIBE_STRUCT(LoadAction, (),
                      (At_, Label_, Host_, Port_, Method_, Target_, Body_))

/// Where the journals of emulated backend servers are read: at their admin
/// port, or in their journal file when File_ is set.
struct JournalSource {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  std::string File_;
};
BOOST_DESCRIBE_STRUCT(JournalSource, (), (Host_, Port_, File_))

/// Plan of one run of the load tool.
struct LoadPlan {
  std::uint64_t Seed_ = 1;
  unsigned Threads_ = 1;
  unsigned Callers_ = 100;
  model::milliseconds Duration_{10000};
  /// Timeout of callers beyond the call's deadline.
  model::milliseconds GiveUpAfter_{5000};
  model::milliseconds Bucket_{200}; ///< width of the timeline's buckets
  std::vector<EntryAddress> Entries_;
  std::vector<LoadRoute> Routes_;
  std::vector<LoadPhase> Phases_;
  std::vector<LoadAction> Actions_;
  std::vector<JournalSource> Journals_;
};
BOOST_DESCRIBE_STRUCT(LoadPlan, (),
                      (Seed_, Threads_, Callers_, Duration_, GiveUpAfter_,
                       Bucket_, Entries_, Routes_, Phases_, Actions_,
                       Journals_))

/// Returns the values that are out of range; empty when all are valid.
model::Problems checkSettings(const LoadPlan &Plan);

/// Returns the index of the phase at a time of the run; 0 before the first
/// phase starts.
std::size_t phaseAt(const LoadPlan &Plan, model::Duration At);

} // namespace cumingauge::emulator

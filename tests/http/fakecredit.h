#pragma once

#include "control/creditdecision.h"
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::test {

/// Answers requests for credit as the test says, and keeps them all.
class FakeCredit {
public:
  struct Request {
    std::uint64_t Number_ = 0;
    std::string Workspace_;
  };

  /// Sets the answer to further requests; nothing: they are not answered.
  void setDecision(std::optional<control::CreditDecision> Decision) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Decision_ = Decision;
  }

  /// Keeps a request and returns its answer, if it has one.
  std::optional<control::CreditDecision> take(std::uint64_t Number,
                                              const std::string &Workspace) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Requests_.push_back({Number, Workspace});
    return Decision_;
  }

  /// Returns all requests so far, oldest first.
  std::vector<Request> requests() const {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Requests_;
  }

private:
  mutable std::mutex Mutex_; ///< guards all members
  std::optional<control::CreditDecision> Decision_ =
      control::CreditDecision{control::CreditAnswer::Granted, {}};
  std::vector<Request> Requests_;
};

} // namespace cumingauge::test

#pragma once

#include "model/change.h"
#include "ports/store.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cumingauge::fakes {

/// In-memory stand-in for the platform's key-value service. It records the
/// first change ever written at each version, which tests compare the state of
/// the processes with.
class FakeStore {
public:
  ports::StoreResponse execute(const ports::StoreRequest &Request);

  std::uint64_t lastVersion() const;

  std::map<std::uint64_t, model::Change> Committed_;
  std::vector<ports::VmEntry> Vms_;
  std::function<void(const std::string &Key)> OnWritten_;
  std::function<void(const model::Change &Entry)> OnCommitted_;

private:
  struct Value {
    std::string Bytes_;
    std::uint64_t Index_ = 0;
  };

  void write(const ports::StoreRequest &Request);
  void recordCommit(const ports::StoreRequest &Request);

  std::map<std::string, Value> Values_;
  std::uint64_t LastIndex_ = 0;
};

} // namespace cumingauge::fakes

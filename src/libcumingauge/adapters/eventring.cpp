#include "adapters/eventring.h"
#include <chrono>

namespace cumingauge::adapters {

std::uint64_t systemWallMs() {
  using namespace std::chrono;
  return static_cast<std::uint64_t>(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count());
}

EventRing::EventRing(std::string Process, std::size_t Capacity, WallClock Clock)
    : Process_(std::move(Process)), Clock_(std::move(Clock)),
      Events_(Capacity) {}

void EventRing::record(model::EventKind Kind, std::string Subject,
                       std::uint64_t Version, model::ResultCode Reason,
                       std::string Detail) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Events_.full())
    ++Dropped_;
  Events_.push_back({advance(), Process_, Kind, std::move(Subject), Version,
                     Reason, std::move(Detail)});
}

void EventRing::observe(model::HybridTime Remote) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Last_ < Remote)
    Last_ = Remote;
}

model::HybridTime EventRing::now() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return advance();
}

std::vector<model::Event> EventRing::since(std::uint64_t WallMs) const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  std::vector<model::Event> Out;
  for (const model::Event &Event : Events_)
    if (Event.At_.WallMs_ >= WallMs)
      Out.push_back(Event);
  return Out;
}

std::uint64_t EventRing::dropped() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Dropped_;
}

ports::EventSink EventRing::sink() {
  return
      [this](model::EventKind Kind, std::string Subject, std::uint64_t Version,
             model::ResultCode Reason, std::string Detail) {
        record(Kind, std::move(Subject), Version, Reason, std::move(Detail));
      };
}

model::HybridTime EventRing::advance() {
  const std::uint64_t Wall = Clock_();
  if (Wall > Last_.WallMs_)
    Last_ = {Wall, 0};
  else
    ++Last_.Counter_;
  return Last_;
}

} // namespace cumingauge::adapters

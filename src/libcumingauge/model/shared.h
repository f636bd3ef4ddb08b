#pragma once

#include <memory>
#include <utility>

namespace cumingauge::model {

/// An immutable value that copies share instead of copying it, for large parts
/// of values that are copied often. Compares like the value itself.
template <class T> class Shared {
public:
  Shared() : Value_(std::make_shared<const T>()) {}
  Shared(T Value) : Value_(std::make_shared<const T>(std::move(Value))) {}
  // Copies only: an object that was moved from would have no value.
  Shared(const Shared &) = default;
  Shared &operator=(const Shared &) = default;
  ~Shared() = default;

  const T &operator*() const { return *Value_; }
  const T *operator->() const { return Value_.get(); }

  /// Returns whether both are copies of one object; they are equal then.
  bool isSameObject(const Shared &Other) const {
    return Value_ == Other.Value_;
  }

  friend bool operator==(const Shared &Left, const Shared &Right) {
    return Left.isSameObject(Right) || *Left == *Right;
  }
  friend bool operator!=(const Shared &Left, const Shared &Right) {
    return !(Left == Right);
  }

private:
  std::shared_ptr<const T> Value_;
};

} // namespace cumingauge::model

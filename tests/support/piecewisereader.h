#pragma once

#include "adapters/httpreadstep.h"
#include "platform/dialect.h"
#include <boost/asio/buffer.hpp>
#include <string>
#include <string_view>

namespace cumingauge::testing {

/// Reads one message whose bytes arrive as the test says.
/// \tparam Reader AnswerReader or RequestReader.
template <class Reader> class PiecewiseReader {
public:
  /// Adds bytes as one read, or several if there is no room, and parses as far
  /// as they go.
  /// \returns the last step.
  adapters::ReadStep feed(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const std::size_t Copied = boost::asio::buffer_copy(
          Reader_.prepare(), boost::asio::buffer(Bytes.data(), Bytes.size()));
      Reader_.commit(Copied);
      Bytes.remove_prefix(Copied);
      if (const auto Step = parse(); Step != adapters::ReadStep::NeedMore)
        return Step;
    }
    return adapters::ReadStep::NeedMore;
  }

  const std::string &body() const { return Body_; }

private:
  adapters::ReadStep parse() {
    while (true) {
      const adapters::ReadStep Step = Reader_.next();
      if (Step == adapters::ReadStep::Body)
        Body_.append(Reader_.body());
      else if (Step != adapters::ReadStep::Head)
        return Step;
    }
  }

  static constexpr std::uint32_t HeaderLimit = 16384;
  Reader Reader_{HeaderLimit, platform::platformDialect()};
  std::string Body_;
};

} // namespace cumingauge::testing

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Stand-ins for the platform and for backend servers.
namespace cumingauge::emulator {

/// One header field of a request or an answer.
struct HttpField {
  std::string Name_;
  std::string Value_;
};

/// A request as it arrived. Only the first part of a large body is kept.
struct HttpRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
  std::uint64_t BodyBytes_ = 0; ///< length of the whole body
};

/// Value of a header field, whatever its case; empty when absent.
std::string fieldOf(const HttpRequest &Request, std::string_view Name);

/// Writes a part of a streamed body: offset within the body, where to, bytes.
using BodySource = std::function<void(std::uint64_t, char *, std::size_t)>;

/// An answer, with its body either whole or from a source.
struct HttpAnswer {
  unsigned Status_ = 200;
  std::vector<HttpField> Fields_;
  std::string Body_;
  BodySource Source_;                     ///< replaces Body_
  std::uint64_t SourceBytes_ = 0;         ///< length of the source
  bool Chunked_ = false;                  ///< source without a length up front
  std::optional<std::uint64_t> CutAfter_; ///< closes after so many body bytes
  bool Twice_ = false; ///< sends the whole answer a second time
  bool Close_ = false;
};

/// Path and decoded query of a request target.
struct Target {
  std::string Path_;
  std::vector<std::pair<std::string, std::string>> Query_;

  bool has(std::string_view Name) const;
  std::string value(std::string_view Name) const; ///< empty when absent
  std::uint64_t number(std::string_view Name, std::uint64_t Default) const;
};

/// Splits a target; nothing when it is not an absolute path.
std::optional<Target> parseTarget(std::string_view Text);

} // namespace cumingauge::emulator

#pragma once

#include "activecall.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace cumingauge::load {

/// One keep-alive connection of a caller to an entry process.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  /// Notifications to the owner of the connection.
  struct Hooks {
    /// The connection is ready for the next call.
    std::function<void(const std::shared_ptr<CallerConnection> &)> OnIdle_;
    std::function<void(const std::shared_ptr<CallerConnection> &)> OnClosed_;
    /// Bytes arrived that belong to no call.
    std::function<void(std::size_t)> OnStrayBytes_;
  };
  using ResultHandler = std::function<void(const ExchangeResult &)>;

  CallerConnection(boost::asio::io_context &Context, std::uint32_t Entry,
                   const Hooks &Events);

  /// Connects and passes to \p OnConnected whether this worked by \p Deadline.
  void connect(const emulator::EntryAddress &Address, model::TimePoint Deadline,
               std::function<void(bool)> OnConnected);

  /// Sends a call and passes its result to \p OnDone, exactly once.
  void send(const std::shared_ptr<ActiveCall> &Call, ResultHandler OnDone);

  /// Returns false when the peer has closed the connection or has sent bytes
  /// without a request.
  bool isUsable();
  void close();

  std::uint32_t entry() const { return Entry_; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void readHeader();
  void readBody();
  void checkAnswer();
  /// Ends the call after \p Error: as cancelled or given up when its deadline
  /// has passed, else as \p KindWithoutTimeout.
  void fail(boost::system::error_code Error,
            emulator::OutcomeKind KindWithoutTimeout);
  void finish(const ExchangeResult &Result, bool Reusable);
  /// Closes the idle connection when its peer closes it or sends bytes.
  void watchForClose();

  boost::beast::tcp_stream Stream_;
  const std::uint32_t Entry_;
  const Hooks Hooks_;
  boost::beast::flat_buffer Buffer_;
  boost::beast::http::request<boost::beast::http::string_body> Request_;
  std::optional<Parser> Parser_;
  std::vector<char> Chunk_;
  std::shared_ptr<ActiveCall> Call_;
  std::optional<emulator::AnswerBody> Expected_;
  std::uint64_t BodyBytes_ = 0;
  bool BodyMatches_ = true;
  ResultHandler OnDone_;
  bool IsWatched_ = false;
  bool Closed_ = false;
};

} // namespace cumingauge::load

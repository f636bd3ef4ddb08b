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
  struct Hooks {
    std::function<void(const std::shared_ptr<CallerConnection> &)> OnIdle_;
    std::function<void(const std::shared_ptr<CallerConnection> &)> OnClosed_;
    std::function<void(std::size_t)> OnStrayBytes_;
  };
  using ResultHandler = std::function<void(const ExchangeResult &)>;

  CallerConnection(boost::asio::io_context &Context, std::uint32_t Entry,
                   const Hooks &Events);

  void connect(const emulator::EntryAddress &Address, model::TimePoint Deadline,
               std::function<void(bool)> OnConnected);

  /// Sends a call; \p OnDone gets its result once.
  void send(const std::shared_ptr<ActiveCall> &Call, ResultHandler OnDone);

  /// False when the other side has closed it or sent something unasked.
  bool isUsable();
  void close();

  std::uint32_t entry() const { return Entry_; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void readHeader();
  void readBody();
  void checkAnswer();
  void fail(boost::system::error_code Error,
            emulator::OutcomeKind KindWithoutTimeout);
  void finish(const ExchangeResult &Result, bool Reusable);
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

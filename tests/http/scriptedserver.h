#pragma once

#include "model/time.h"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cumingauge::test {

/// A backend server on the loopback interface whose answers come from a script.
/// Each connection has its own thread.
class ScriptedServer {
public:
  using Socket = boost::asio::ip::tcp::socket;

  struct Request {
    std::string Head_; ///< request line and fields
    std::string Body_;
    unsigned Number_ = 0;     ///< counted from 1 over all connections
    unsigned Connection_ = 0; ///< on which it arrived, counted from 1
  };

  /// Returns the bytes to answer with; an empty text closes the connection.
  using Script = std::function<std::string(const Request &)>;

  explicit ScriptedServer(Script Answer);
  ~ScriptedServer();

  std::uint16_t port() const { return Port_; }
  unsigned connections() const { return Connections_; }
  std::vector<Request> requests() const;

  /// Returns the heads of all requests so far, also of those whose body has not
  /// ended.
  std::vector<std::string> heads() const;

  /// Returns how many answers have been written so far.
  unsigned answers() const { return Answers_; }

  /// Closes each connection after its next answer from now on.
  void closeAfterAnswer() { CloseAfterAnswer_ = true; }

  /// Sends \p Piece \p Times times after each answer. To be called before the
  /// first request.
  /// \param Delay time between the answer and the first piece.
  void sendAfterAnswer(std::string Piece, std::size_t Times,
                       model::milliseconds Delay = {}) {
    TrailingPiece_ = std::move(Piece);
    TrailingCount_ = Times;
    TrailingDelay_ = Delay;
  }

  /// Sends \p Piece after each answer until the connection ends. To be called
  /// before the first request.
  void sendWithoutEnd(std::string Piece) {
    sendAfterAnswer(std::move(Piece), std::numeric_limits<std::size_t>::max());
  }

  /// Returns how many bytes have been added to answers so far.
  std::size_t trailingBytes() const { return TrailingBytes_; }

  /// Returns the number of connections that this server has closed.
  unsigned closed() const { return ClosedHere_; }

  /// Returns the number of connections that the peer has closed.
  unsigned ended() const { return EndedByPeer_; }

  /// Returns a whole answer with this body.
  static std::string answer(const std::string &Body,
                            const std::string &Fields = "",
                            const std::string &Status = "200 OK");

private:
  void acceptAll();
  void serve(Socket &Connection, unsigned Number);

  boost::asio::io_context Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  Script Answer_;
  std::uint16_t Port_ = 0;
  std::string TrailingPiece_;
  std::size_t TrailingCount_ = 0;
  model::milliseconds TrailingDelay_{};
  std::atomic<std::size_t> TrailingBytes_{0};
  std::atomic<unsigned> Connections_{0};
  std::atomic<unsigned> Answers_{0};
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> CloseAfterAnswer_{false};
  std::atomic<unsigned> EndedByPeer_{0};
  std::atomic<unsigned> ClosedHere_{0};
  mutable std::mutex Mutex_; ///< guards Requests_ and Heads_
  std::vector<Request> Requests_;
  std::vector<std::string> Heads_;
  std::vector<std::shared_ptr<Socket>> ConnectionSockets_;
  std::vector<std::thread> ConnectionThreads_;
  std::thread AcceptThread_;
};

} // namespace cumingauge::test

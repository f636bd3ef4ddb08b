#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cumingauge::test {

/// A backend server on loopback that answers what its script says. Every
/// connection has a thread of its own.
class ScriptedServer {
public:
  using Socket = boost::asio::ip::tcp::socket;

  struct Request {
    std::string Head_; ///< first line and fields
    std::string Body_;
    unsigned Number_ = 0; ///< over all connections, from 1
  };

  /// Gives the bytes to answer with; an empty text closes the connection.
  using Script = std::function<std::string(const Request &)>;

  explicit ScriptedServer(Script Answer);
  ~ScriptedServer();

  std::uint16_t port() const { return Port_; }
  unsigned connections() const { return Connections_; }
  std::vector<Request> requests() const;

  /// From now on every connection is closed behind its first answer.
  void closeAfterAnswer() { Closing_ = true; }

  /// Every answer is followed by this piece, so many times. To be called
  /// before the first request.
  void sendAfterAnswer(std::string Piece, std::size_t Times) {
    Piece_ = std::move(Piece);
    Times_ = Times;
  }

  /// Connections that this server has closed.
  unsigned closed() const { return ClosedHere_; }

  /// Connections that the other side has ended.
  unsigned ended() const { return EndedByPeer_; }

  /// A whole answer with this body.
  static std::string answer(const std::string &Body,
                            const std::string &Fields = "",
                            const std::string &Status = "200 OK");

private:
  void acceptAll();
  void serve(Socket &Connection);

  boost::asio::io_context Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  Script Answer_;
  std::uint16_t Port_ = 0;
  std::string Piece_;
  std::size_t Times_ = 0;
  std::atomic<unsigned> Connections_{0};
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> Closing_{false};
  std::atomic<unsigned> EndedByPeer_{0};
  std::atomic<unsigned> ClosedHere_{0};
  mutable std::mutex Mutex_; ///< guards what follows
  std::vector<Request> Requests_;
  std::vector<std::shared_ptr<Socket>> Open_;
  std::vector<std::thread> Serving_;
  std::thread Accepting_;
};

} // namespace cumingauge::test

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::test {

/// Callers that send what they are told, read nothing unless asked to and keep
/// their connections open.
class Crowd {
public:
  /// What a caller sends.
  struct Text {
    std::string Start_; ///< method and target; the caller's number is appended
    std::string Rest_;  ///< follows the request line
  };

  /// Connects all callers.
  Crowd(std::uint16_t Port, std::size_t Count, Text Sent);

  /// Sends until all is sent or the process takes no more.
  void send();

  /// What a caller has received so far.
  struct Outcome {
    std::string Request_; ///< method and target
    unsigned Status_ = 0; ///< 0 before an answer
    bool Closed_ = false;
  };

  /// Reads what has arrived.
  std::vector<Outcome> outcomes();

  void disconnect() { Callers_.clear(); }

private:
  struct Caller {
    boost::asio::ip::tcp::socket Socket_;
    Outcome Outcome_;
    std::string Bytes_; ///< what precedes Text::Rest_
    std::size_t Sent_ = 0;
  };

  /// Returns whether the caller could send something.
  bool sendSome(Caller &From) const;

  const std::string Rest_;
  boost::asio::io_context Io_;
  std::vector<Caller> Callers_;
};

} // namespace cumingauge::test

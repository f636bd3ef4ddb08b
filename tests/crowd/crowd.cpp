#include "crowd/crowd.h"
#include "model/time.h"
#include <algorithm>
#include <array>
#include <cstdio>
#include <thread>

namespace cumingauge::test {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Small, so that answers that are not read stay with the process.
constexpr int ReceiveBufferBytes = 4096;

} // namespace

Crowd::Crowd(std::uint16_t Port, std::size_t Count, Text Sent)
    : Rest_(std::move(Sent.Rest_)) {
  for (std::size_t I = 0; I < Count; ++I) {
    tcp::socket Socket(Io_, tcp::v4());
    Socket.set_option(
        boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    Socket.connect(
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), Port));
    Socket.non_blocking(true);
    const std::string Request = Sent.Start_ + std::to_string(I);
    Callers_.push_back(
        {std::move(Socket), {Request}, Request + " HTTP/1.1\r\n"});
  }
}

bool Crowd::sendSome(Caller &From) const {
  const std::size_t OfRest =
      From.Sent_ - std::min(From.Sent_, From.Bytes_.size());
  const std::array<boost::asio::const_buffer, 2> Left = {
      boost::asio::buffer(From.Bytes_) + From.Sent_,
      boost::asio::buffer(Rest_) + OfRest};
  error_code Error;
  const std::size_t Bytes = From.Socket_.write_some(Left, Error);
  From.Sent_ += Bytes;
  From.Outcome_.Closed_ = Error && Error != boost::asio::error::would_block;
  return Bytes > 0;
}

void Crowd::send() {
  constexpr int MaxIdleRounds = 50;
  constexpr int MaxRounds = 2000;
  int IdleRounds = 0;
  for (int Round = 0; Round < MaxRounds && IdleRounds < MaxIdleRounds;
       ++Round) {
    bool Complete = true;
    bool Progress = false;
    for (Caller &One : Callers_)
      if (!One.Outcome_.Closed_ &&
          One.Sent_ < One.Bytes_.size() + Rest_.size()) {
        Complete = false;
        Progress |= sendSome(One);
      }
    if (Complete)
      return;
    IdleRounds = Progress ? 0 : IdleRounds + 1;
    std::this_thread::sleep_for(model::milliseconds(5));
  }
}

std::vector<Crowd::Outcome> Crowd::outcomes() {
  std::vector<Outcome> Out;
  for (Caller &One : Callers_) {
    std::array<char, 4096> Piece{};
    error_code Error;
    One.Socket_.read_some(boost::asio::buffer(Piece), Error);
    One.Outcome_.Closed_ = Error && Error != boost::asio::error::would_block;
    if (One.Outcome_.Status_ == 0)
      std::sscanf(Piece.data(), "HTTP/1.1 %u", &One.Outcome_.Status_);
    Out.push_back(One.Outcome_);
  }
  return Out;
}

} // namespace cumingauge::test

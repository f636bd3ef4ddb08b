#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <iostream>
#include <vector>

/// Prints as many free TCP ports of the loopback address as asked for.
int main(int Argc, char **Argv) {
  using boost::asio::ip::tcp;
  const int Count = Argc > 1 ? std::atoi(Argv[1]) : 1;
  boost::asio::io_context Io;
  std::vector<tcp::acceptor> Held; // until all are known to differ
  const tcp::endpoint Any(boost::asio::ip::address_v4::loopback(), 0);
  for (int I = 0; I < Count; ++I) {
    Held.emplace_back(Io, Any);
    std::cout << Held.back().local_endpoint().port() << "\n";
  }
}

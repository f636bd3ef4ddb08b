#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <iostream>
#include <vector>

/// Prints free TCP ports of the loopback address, one a line. Argument: how
/// many, 1 by default.
int main(int Argc, char **Argv) {
  using boost::asio::ip::tcp;
  const int Count = Argc > 1 ? std::atoi(Argv[1]) : 1;
  boost::asio::io_context Io;
  std::vector<tcp::acceptor> Acceptors; // kept open, so that all ports differ
  const tcp::endpoint Any(boost::asio::ip::address_v4::loopback(), 0);
  for (int I = 0; I < Count; ++I) {
    Acceptors.emplace_back(Io, Any);
    std::cout << Acceptors.back().local_endpoint().port() << "\n";
  }
}

#include "adapters/idlesocket.h"
#include <cerrno>
#include <sys/socket.h>

namespace cumingauge::adapters {

bool isSocketStale(int Socket) {
  char Byte = 0;
  const auto Got = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace cumingauge::adapters

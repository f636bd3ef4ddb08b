#include "adapters/idlesocket.h"
#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cumingauge::adapters {

bool isSocketStale(int Socket) {
  char Byte = 0;
  const auto Got = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool hasUnsentBytes(int Socket) {
  int Bytes = 0;
  return ::ioctl(Socket, SIOCOUTQ, &Bytes) == 0 && Bytes > 0;
}

} // namespace cumingauge::adapters

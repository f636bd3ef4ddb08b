#include "traffic/golden.h"
#include <cppunit/TestAssert.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace cumingauge::test {

void compareWithGolden(const std::string &Name, const std::string &Session) {
  const std::string File = std::string(TEST_DATA_DIR) + "/golden/" + Name;
  if (std::getenv("CUMINGAUGE_WRITE_GOLDEN")) {
    std::ofstream(File) << Session;
    return;
  }
  std::ifstream In(File);
  std::ostringstream Expected;
  Expected << In.rdbuf();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(File, Expected.str(), Session);
}

} // namespace cumingauge::test

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace fs = std::filesystem;

namespace {

std::string readFile(const fs::path &File) {
  std::ifstream In(File);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

std::vector<fs::path> pages() {
  std::vector<fs::path> Out;
  const fs::path Root = SOURCE_DIR;
  for (const auto &Entry : fs::directory_iterator(Root))
    if (Entry.path().extension() == ".md")
      Out.push_back(Entry.path());
  for (const auto &Entry : fs::recursive_directory_iterator(Root / "docs"))
    if (Entry.path().extension() == ".md")
      Out.push_back(Entry.path());
  return Out;
}

/// Returns the relative link targets of a page, without anchors.
std::vector<std::string> linksOf(const std::string &Text) {
  static const std::regex Link(R"(\]\(([^)#]+)(#[^)]*)?\))");
  std::vector<std::string> Out;
  for (std::sregex_iterator I(Text.begin(), Text.end(), Link), End; I != End;
       ++I)
    if ((*I)[1].str().find("://") == std::string::npos)
      Out.push_back((*I)[1].str());
  return Out;
}

class TheManual : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheManual);
  CPPUNIT_TEST(hasNoBrokenRelativeLinks);
  CPPUNIT_TEST_SUITE_END();

public:
  void hasNoBrokenRelativeLinks() {
    std::string Broken;
    for (const fs::path &Page : pages())
      for (const std::string &Target : linksOf(readFile(Page)))
        if (!fs::exists(Page.parent_path() / Target))
          Broken += Page.filename().string() + " -> " + Target + "\n";
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheManual);

} // namespace

#include "model/resultcode.h"
#include <boost/algorithm/string.hpp>
#include <boost/mp11.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <map>

using namespace cumingauge;

namespace {

/// HTTP status of the codes that are never sent to a caller.
constexpr unsigned InternalCodeStatus = 500;

struct DocumentedCode {
  std::string Name_;
  unsigned HttpStatus_ = 0;
};

unsigned readStatus(const std::string &Cell) {
  return Cell == "-" ? InternalCodeStatus
                     : static_cast<unsigned>(std::stoul(Cell));
}

std::map<int, DocumentedCode> readTable() {
  std::map<int, DocumentedCode> Table;
  std::ifstream In(SOURCE_DIR "/docs/RESULT-CODES.md");
  for (std::string Line; std::getline(In, Line);) {
    std::vector<std::string> Cells;
    boost::split(Cells, Line, boost::is_any_of("|"));
    for (std::string &Cell : Cells)
      boost::trim(Cell);
    if (Cells.size() < 7 || !boost::all(Cells[1], boost::is_digit()) ||
        Cells[1].empty())
      continue;
    Table[std::stoi(Cells[1])] = {Cells[2], readStatus(Cells[3])};
  }
  return Table;
}

class TheResultCodeTable : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheResultCodeTable);
  CPPUNIT_TEST(hasEveryCodeWithItsNameAndStatus);
  CPPUNIT_TEST(hasNoUnknownCodes);
  CPPUNIT_TEST_SUITE_END();

public:
  void hasEveryCodeWithItsNameAndStatus() {
    const auto Table = readTable();
    using Codes = boost::describe::describe_enumerators<model::ResultCode>;
    boost::mp11::mp_for_each<Codes>([&](auto D) {
      const auto Row = Table.find(static_cast<int>(D.value));
      CPPUNIT_ASSERT_MESSAGE(D.name, Row != Table.end());
      CPPUNIT_ASSERT_EQUAL(std::string(D.name), Row->second.Name_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(D.name, model::httpStatusOf(D.value),
                                   Row->second.HttpStatus_);
    });
  }

  void hasNoUnknownCodes() {
    for (const auto &Row : readTable())
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          "row " + std::to_string(Row.first), Row.second.Name_,
          std::string(
              model::nameOf(static_cast<model::ResultCode>(Row.first))));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheResultCodeTable);

} // namespace

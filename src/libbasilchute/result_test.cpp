// Compares the table of result codes with its documentation.

#include "basilchute/result.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace basilchute;

TEST_CASE("docs/ERRORS.md lists every result code with its name and meaning") {
  std::ifstream In(BASILCHUTE_SOURCE_DIR "/docs/ERRORS.md");
  std::stringstream Page;
  Page << In.rdbuf();
  int Last = -1;
  for (const ResultCodeInfo &Info : resultCodes()) {
    int Number = static_cast<int>(Info.Code);
    CHECK(Number > Last);
    Last = Number;
    std::string Row =
        fmt::format("| {} | `{}` | {} |", Number, Info.Name, Info.Meaning);
    CAPTURE(Row);
    CHECK(Page.str().find(Row) != std::string::npos);
  }
}

// The table of result codes, and the page that explains it.

#include "basilchute/result.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace basilchute;

TEST_CASE("every result code stands in docs/ERRORS.md as it is") {
  std::ifstream In(BASILCHUTE_SOURCE_DIR "/docs/ERRORS.md");
  std::stringstream Page;
  Page << In.rdbuf();
  int Last = -1;
  for (const ResultCodeInfo &Each : resultCodes()) {
    int Number = static_cast<int>(Each.Code);
    CHECK(Number > Last);
    Last = Number;
    std::string Row =
        fmt::format("| {} | `{}` | {} |", Number, Each.Name, Each.Meaning);
    CAPTURE(Row);
    CHECK(Page.str().find(Row) != std::string::npos);
  }
}

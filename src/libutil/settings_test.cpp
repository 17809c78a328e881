// Tests Settings: all errors are found and reported with their location.

#include "libutil/settings.h"

#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <unistd.h>

using namespace basilchute;

namespace {

std::vector<SettingSpec> testSpecs() {
  return {{.Key = "a.text", .Default = std::string("x")},
          {.Key = "a.number", .Default = int64_t{5}, .Min = 1, .Max = 9},
          {.Key = "a.flag", .Default = false},
          {.Key = "a.list",
           .Default = std::vector<std::string>(),
           .Required = true}};
}

/// A temporary file that the destructor removes.
struct TempFile {
  explicit TempFile(const std::string &Text) {
    ::close(::mkstemp(Name.data()));
    std::ofstream(Name) << Text;
  }
  ~TempFile() { std::remove(Name.c_str()); }
  std::string Name = "/tmp/basilchute-test-XXXXXX";
};

} // namespace

TEST_CASE("all errors of a file are reported with their lines") {
  TempFile File("[a]\ntext = 3\nnumber = 12\nflag = true\nother = 1\n"
                "list = [\"p\", 2]\n");
  Settings Values(testSpecs());
  std::vector<SettingError> Errors = Values.loadFile(File.Name);
  REQUIRE(Errors.size() == 4);
  CHECK(Values.flag("a.flag"));
  for (const SettingError &Failure : Errors) {
    std::string Line = Failure.Location.substr(Failure.Location.rfind(':') + 1);
    if (Failure.Key == "a.text")
      CHECK(Line == "2");
    if (Failure.Key == "a.number")
      CHECK(Failure.Text == "12 is not between 1 and 9");
    if (Failure.Key == "a.other")
      CHECK(Failure.Text == "is not a known setting");
    if (Failure.Key == "a.list")
      CHECK(Line == "6");
  }
}

TEST_CASE("assignments on the command line are checked like the file") {
  Settings Values(testSpecs());
  CHECK(Values.set("a.text=plain words").empty());
  CHECK(Values.text("a.text") == "plain words");
  CHECK(Values.set("a.list=[\"p\"]").empty());
  CHECK(Values.missing().empty());
  CHECK(Values.set("a.number=0").size() == 1);
  CHECK(Values.set("a.number=many").size() == 1);
  CHECK(Values.set("a.none=1").size() == 1);
  CHECK(Values.set("a.text").size() == 1);
}

TEST_CASE("a syntax error is reported, and a required list must be set") {
  TempFile File("[a]\ntext = \n");
  Settings Values(testSpecs());
  CHECK(Values.loadFile(File.Name).size() == 1);
  REQUIRE(Values.missing().size() == 1);
  CHECK(Values.missing()[0].Key == "a.list");
}

TEST_CASE("a file with very deep nesting is reported") {
  TempFile File("[a]\nlist = " + std::string(100000, '[') +
                std::string(100000, ']') + "\n");
  Settings Values(testSpecs());
  CHECK(Values.loadFile(File.Name).size() == 1);
}

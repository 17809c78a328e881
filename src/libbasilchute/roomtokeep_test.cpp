// Tests of the choice of the worker on which room is kept.

#include "libbasilchute/roomtokeep.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

Resources cores(int64_t Count) { return {.Millicores = 1000 * Count}; }

bool always(size_t) { return true; }

} // namespace

TEST_CASE("Room is kept where the smallest part of short work has to end") {
  std::vector<WorkerRoom> Workers{
      {.Free = cores(0), .Eventual = cores(8)},
      {.Free = cores(0), .Eventual = cores(32)},
      {.Free = cores(2), .Eventual = cores(6)},
  };
  CHECK(chooseRoomToKeep(Workers, cores(6), always) == 1);
  CHECK(chooseRoomToKeep(Workers, cores(3), always) == 1);
  CHECK(chooseRoomToKeep(Workers, cores(2), always) == 2);
}

TEST_CASE(
    "No room is kept on a worker that long-running work leaves too little "
    "of") {
  std::vector<WorkerRoom> Workers{{.Free = cores(1), .Eventual = cores(3)}};
  CHECK_FALSE(chooseRoomToKeep(Workers, cores(4), always));
  CHECK(chooseRoomToKeep(Workers, cores(3), always) == 0);
  Workers.front().Eventual.MemoryMib = 100;
  CHECK_FALSE(chooseRoomToKeep(Workers, {.Millicores = 3000, .MemoryMib = 200},
                               always));
}

// Guards against room for several tasks that is kept on the same worker beyond
// what that worker will have.
TEST_CASE("Room that is kept already counts as neither free nor eventual") {
  std::vector<WorkerRoom> Workers{{.Free = cores(-4), .Eventual = cores(4)},
                                  {.Free = cores(0), .Eventual = cores(6)}};
  CHECK(chooseRoomToKeep(Workers, cores(5), always) == 1);
  CHECK(chooseRoomToKeep(Workers, cores(4), always) == 1);
}

TEST_CASE("The scarcest resource decides where room is kept") {
  std::vector<WorkerRoom> Workers{
      {.Free = {.Millicores = 4000, .MemoryMib = 0},
       .Eventual = {.Millicores = 8000, .MemoryMib = 100}},
      {.Free = {.Millicores = 0, .MemoryMib = 0},
       .Eventual = {.Millicores = 8000, .MemoryMib = 800}}};
  CHECK(chooseRoomToKeep(Workers, {.Millicores = 4000, .MemoryMib = 100},
                         always) == 1);
}

TEST_CASE("Room is kept only where the task may run") {
  std::vector<WorkerRoom> Workers{{.Free = cores(8), .Eventual = cores(8)},
                                  {.Free = cores(0), .Eventual = cores(8)}};
  auto IsSecond = [](size_t Index) { return Index == 1; };
  CHECK(chooseRoomToKeep(Workers, cores(4), IsSecond) == 1);
  CHECK_FALSE(
      chooseRoomToKeep(Workers, cores(4), [](size_t) { return false; }));
}

# Front door over CMake. All targets install the packages that are missing.
BUILD ?= build
JOBS ?= $(shell nproc)
FUZZ_SECONDS ?= 300

.PHONY: all deps build test lint sanitize tsan demo fuzz mutants bench capacity \
        schema format

all: build

deps:
	@src/build-scripts/install-packages

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) --parallel $(JOBS)

lint: build
	@BUILD=$(BUILD) src/build-scripts/lint

test: lint
	@ctest --test-dir $(BUILD) --output-on-failure --parallel 2
	@[ ! -f KNOWN-RED.txt ] || { echo "known red, passed over:"; cat KNOWN-RED.txt; }

# The same tests under AddressSanitizer and UndefinedBehaviorSanitizer.
sanitize: deps
	@cmake -S . -B $(BUILD)-asan -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	  -DBASILCHUTE_SANITIZE=address,undefined >/dev/null
	@cmake --build $(BUILD)-asan --parallel $(JOBS)
	@ctest --test-dir $(BUILD)-asan --output-on-failure --parallel 2

# The same tests under ThreadSanitizer.
tsan: deps
	@cmake -S . -B $(BUILD)-tsan -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	  -DBASILCHUTE_SANITIZE=thread >/dev/null
	@cmake --build $(BUILD)-tsan --parallel $(JOBS)
	@ctest --test-dir $(BUILD)-tsan --output-on-failure --parallel 2

demo: build
	@BUILD=$(BUILD) src/build-scripts/demo

# Long fuzzing with a fresh seed, which is printed; RC_PARAMS replays it.
fuzz: build
	@BUILD=$(BUILD) src/build-scripts/fuzz $(FUZZ_SECONDS)

mutants: build
	@BUILD=$(BUILD) src/build-scripts/mutants

bench: build
	@$(BUILD)/bin/basilchute_bench
	@BUILD=$(BUILD) python3 src/build-scripts/requestbench.py

# Measures the slopes and rewrites the table of docs/CAPACITY.md.
capacity: build
	@BUILD=$(BUILD) src/build-scripts/capacity

# Needs protobuf-compiler; the generated files are committed.
schema:
	@cd src/schema && protoc --cpp_out=. basilchute.proto jobs.proto

format:
	@git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '\.pb\.' | xargs clang-format -i

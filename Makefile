# Front door over CMake.
BUILD ?= build

.PHONY: build test demo deps

deps:
	@src/build-scripts/install-packages

build:
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: deps build
	@ctest --test-dir $(BUILD) --output-on-failure

# Entry points for people and CI. The build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all setup build format format-check lint check check-fast bench clean

all: build

# Installs the packages that the build and the tests need.
setup:
	tools/setup.sh

$(BUILD)/build.ninja:
	cmake -S . -B $(BUILD) -G Ninja

build: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

format:
	tools/format.sh

format-check:
	tools/format.sh --check

lint: $(BUILD)/build.ninja
	tools/lint.sh $(BUILD)

# Everything that CI requires.
check: setup
	$(MAKE) build
	$(MAKE) format-check
	$(MAKE) lint
	ctest --test-dir $(BUILD) --output-on-failure -j 4

# Build and tests alone, for the edit loop.
check-fast: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

# Measures both deployments; see docs/MEASUREMENTS.md.
bench: build
	mkdir -p $(BUILD)/bench
	$(BUILD)/galenaflow-experiment $(BUILD)/bench $(BENCH_FLAGS)

clean:
	rm -rf $(BUILD)

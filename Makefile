# Entry points for people and CI. The build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all demo setup build format format-check lint check check-fast clean \
  capacity capacity-check cost-check

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
	$(MAKE) capacity-check
	ctest --test-dir $(BUILD) --output-on-failure -j 4
	$(MAKE) cost-check

# Recomputes the tables of docs/CAPACITY.md.
capacity:
	tools/capacity.py

capacity-check:
	tools/capacity.py --check

# Bounds the instructions of a sub-request under callgrind; takes about 5 s.
cost-check: build
	tools/cost_check.py $(BUILD)

# Build and tests alone, for the edit loop.
check-fast: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

# Shows a small deployment at work, with stand-ins for the outside systems.
demo: setup
	$(MAKE) build
	$(BUILD)/demo

clean:
	rm -rf $(BUILD)

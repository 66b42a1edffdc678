# Entry points for developers and CI. The build rules are in CMakeLists.txt.
BUILD ?= build
JOBS ?= $(shell nproc)

# Builds with sanitizers and for fuzzing have folders of their own.
ADDRESS_BUILD ?= build-address
THREAD_BUILD ?= build-thread
FUZZ_BUILD ?= build-fuzz
SANITIZE_JOBS ?= 4
FUZZ_JOBS ?= 4
# Number of runs of each fuzz target; `make check` uses the short one.
FUZZ_RUNS ?= 2000000
FUZZ_SHORT_RUNS ?= 20000

.PHONY: all demo bench matrix sites soak platform-soak config-fleet setup build clean
.PHONY: format format-check lint check check-fast
.PHONY: capacity capacity-check cost-check
.PHONY: check-sanitize check-address check-thread
.PHONY: fuzz fuzz-short fuzz-build fuzz-corpus

all: build

# Runs a small deployment with stand-ins for the outside systems.
demo: setup
	$(MAKE) build
	$(BUILD)/demo

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

# Runs everything that CI requires. ctest runs last, so that its summary ends
# the output.
check: setup
	$(MAKE) build
	$(MAKE) format-check
	$(MAKE) lint
	$(MAKE) capacity-check
	$(MAKE) cost-check
	$(MAKE) fuzz-short
	ctest --test-dir $(BUILD) --output-on-failure -j 4

# Recomputes the tables of docs/CAPACITY.md.
capacity:
	tools/capacity.py

capacity-check:
	tools/capacity.py --check

# Checks the instructions of a sub-request, counted by callgrind, against their
# bounds. Takes about 5 s.
cost-check: build
	tools/cost_check.py $(BUILD)

# Runs the model check of writes with the long schedules.
soak: build
	WRITE_MODEL_SEEDS=2500 $(BUILD)/write_model_test

# Runs all tests with the address, undefined-behaviour and leak sanitizers, then
# with the thread sanitizer. Reports about h2o itself are suppressed by function
# name (tools/sanitizers).
check-sanitize: check-address check-thread

SUPPRESSIONS := $(CURDIR)/tools/sanitizers

# The h2o library has no frame pointers, so only the slow unwinder can name its
# functions in a report.
check-address:
	cmake -S . -B $(ADDRESS_BUILD) -G Ninja \
	  -DGALENAFLOW_SANITIZE=address,undefined \
	  -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g"
	cmake --build $(ADDRESS_BUILD) -j $(SANITIZE_JOBS)
	LSAN_OPTIONS=suppressions=$(SUPPRESSIONS)/leak.supp \
	ASAN_OPTIONS=fast_unwind_on_malloc=0:malloc_context_size=14 \
	UBSAN_OPTIONS=print_stacktrace=1 \
	ctest --test-dir $(ADDRESS_BUILD) --output-on-failure -j $(SANITIZE_JOBS)

check-thread:
	cmake -S . -B $(THREAD_BUILD) -G Ninja -DGALENAFLOW_SANITIZE=thread \
	  -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g"
	cmake --build $(THREAD_BUILD) -j $(SANITIZE_JOBS)
	TSAN_OPTIONS=suppressions=$(SUPPRESSIONS)/thread.supp \
	ctest --test-dir $(THREAD_BUILD) --output-on-failure -j $(SANITIZE_JOBS)

# Builds the fuzz targets (tests/fuzz) with libFuzzer.
fuzz-build:
	cmake -S . -B $(FUZZ_BUILD) -G Ninja -DGALENAFLOW_FUZZ=ON \
	  -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g"
	cmake --build $(FUZZ_BUILD) -j $(SANITIZE_JOBS)

fuzz: fuzz-build
	tools/fuzz.sh $(FUZZ_BUILD) $(FUZZ_RUNS) $(FUZZ_JOBS)

fuzz-short: fuzz-build
	tools/fuzz.sh $(FUZZ_BUILD) $(FUZZ_SHORT_RUNS) $(FUZZ_JOBS)

# Regenerates the binary part of the corpus after a message format has changed.
fuzz-corpus: build
	$(BUILD)/fuzz-corpus tests/fuzz/corpus

# Runs the build and the tests only, for quick checks during development.
check-fast: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

# Runs all cells of the fault matrix. Also writes the table to build/matrix/.
matrix: build
	mkdir -p $(BUILD)/matrix
	$(BUILD)/fault-matrix tests/matrix/matrix.json --docs docs/fault-matrix.md
	$(BUILD)/fault-matrix tests/matrix/matrix.json --known_red KNOWN-RED.txt --out $(BUILD)/matrix/table.md

# Runs real processes of the platform's program under random faults. FIRST_SEED
# and SEEDS select the schedules.
FIRST_SEED ?= 1
SEEDS ?= 50
platform-soak: build
	$(BUILD)/platform-soak $(FIRST_SEED) $(SEEDS)

# Asks a fleet of real processes for the routes in force. FLEET_DAEMONS and
# SCENARIOS select the size and what happens; an unknown scenario lists them.
FLEET_DAEMONS ?= 100
SCENARIOS ?= changes
config-fleet: build
	$(BUILD)/config-fleet $(FIRST_SEED) 1 $(FLEET_DAEMONS) $(SCENARIOS)

# Scores the regression sites with the users' bench and compares them with
# docs/sites.json. SITES_KIT is the folder of the site files; SITES_BENCH is the
# bench. Takes about 15 minutes with three jobs. Not part of CI.
SITES_KIT ?= ../given/kit/more/system
SITES_BENCH ?= $(lastword $(sort $(wildcard $(SITES_KIT)/more/*/bin/fleetbench)))
SITES_JOBS ?= 3
sites:
	@test -n "$(SITES_BENCH)" || { echo "not found: the users' bench under $(SITES_KIT)"; exit 2; }
	tools/sites.py --bench $(SITES_BENCH) --sites $(SITES_KIT) --jobs $(SITES_JOBS) $(SITES_FLAGS)

# Measures both deployments; see docs/MEASUREMENTS.md.
bench: build
	mkdir -p $(BUILD)/bench
	$(BUILD)/galenaflow-experiment $(BUILD)/bench $(BENCH_FLAGS)

clean:
	rm -rf $(BUILD)

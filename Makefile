# Every check of CI is a target here, so that a failed check can be rerun by its name.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
export CCACHE_SLOPPINESS := pch_defines,time_macros

BUILD ?= build
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
TIDY_SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp')
JOBS ?= $(shell nproc)
# Names of the tests in KNOWN-RED.txt, joined for ctest's option -E.
KNOWN_RED = $(shell sed -n 's/^\([a-z0-9_]*\) |.*/\1/p' KNOWN-RED.txt | paste -sd '|')

.PHONY: packages configure build test demo lint format format-check tidy asan clean

packages: ## Installs the packages listed in packages.txt, unless all of them are present.
	@dpkg -s $$(cat packages.txt) >/dev/null 2>&1 || \
		(apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $$(cat packages.txt))

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: configure
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@grep -v '^#' KNOWN-RED.txt | sed 's/^/known red, not run: /' || true
	ctest --test-dir $(BUILD) --output-on-failure -j 4 $(if $(KNOWN_RED),-E '^($(KNOWN_RED))$$')

demo: build ## Runs two services with faults under load; ends with the verdict over the ledgers.
	@demo/run $(BUILD)/bin

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

tidy: configure
	@echo $(TIDY_SOURCES) | xargs -n 2 -P $(JOBS) clang-tidy -p $(BUILD) --quiet 2>/dev/null || (echo "clang-tidy found faults" >&2; exit 1)

lint: format-check tidy

asan: packages
	cmake -S . -B build-asan -G Ninja -DPOPLARPORT_SANITIZERS=address,undefined -DCMAKE_BUILD_TYPE=Debug >/dev/null
	cmake --build build-asan -j $(JOBS)
	ctest --test-dir build-asan --output-on-failure -j 4

clean:
	rm -rf build build-asan out target

# Fuzzing: libFuzzer where clang has it, else the seeded driver in a build with sanitizers.
FUZZ_RUNS ?= 20000
FUZZ_SEED ?= 1
FUZZ_BUILD = build-fuzz
FUZZ_TARGETS = $(patsubst tests/fuzz/fuzz-%.cpp,%,$(wildcard tests/fuzz/fuzz-*.cpp))

.PHONY: fuzz

fuzz: packages ## Runs each fuzz target FUZZ_RUNS times; new inputs stay in build-fuzz/corpus.
	@mkdir -p $(FUZZ_BUILD)
	@if echo 'extern "C" int LLVMFuzzerTestOneInput(const unsigned char*, unsigned long) { return 0; }' | \
		clang++ -x c++ - -fsanitize=fuzzer -o $(FUZZ_BUILD)/probe 2>/dev/null; then \
		cmake -S . -B $(FUZZ_BUILD) -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DPOPLARPORT_LIBFUZZER=ON \
			-DPOPLARPORT_SANITIZERS=fuzzer-no-link,address,undefined >/dev/null; \
	else \
		echo "clang's libFuzzer is missing: using the seeded driver"; \
		cmake -S . -B $(FUZZ_BUILD) -G Ninja -DPOPLARPORT_SANITIZERS=address,undefined >/dev/null; \
	fi
	cmake --build $(FUZZ_BUILD) -j $(JOBS) --target $(addprefix fuzz_,$(FUZZ_TARGETS))
	@for name in $(FUZZ_TARGETS); do \
		mkdir -p $(FUZZ_BUILD)/corpus/$$name && cp -n tests/fuzz/corpus/$$name/* $(FUZZ_BUILD)/corpus/$$name/; \
		echo "fuzz_$$name"; \
		$(FUZZ_BUILD)/tests/fuzz/fuzz_$$name -seed=$(FUZZ_SEED) -runs=$(FUZZ_RUNS) \
			$(FUZZ_BUILD)/corpus/$$name >$(FUZZ_BUILD)/$$name.log 2>&1 || { tail -n 60 $(FUZZ_BUILD)/$$name.log; exit 1; }; \
		tail -n 1 $(FUZZ_BUILD)/$$name.log; \
	done

.PHONY: deploy-build
deploy-build: ## Builds the program of the platform as the deploy file says, and checks its packages against ours.
	@sed -n '/^packages/,/^]/p' deploy/system.toml | grep -o '"[a-z0-9.+-]*"' | tr -d '"' | \
		grep -vxFf packages.txt && { echo "deploy/system.toml names a package that packages.txt lacks" >&2; exit 1; } || true
	bash -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)" >/dev/null

.PHONY: bench-policy
bench-policy: build ## Compares routing and admission policies on fakes under a fake clock.
	$(BUILD)/bin/bench_policy

.PHONY: prove
prove: build ## Runs the failure tests: whole systems of processes under faults.
	ctest --test-dir $(BUILD) -L prove --output-on-failure

.PHONY: bench-node
bench-node: build ## Measures the cost of a node on loopback; BENCH_NODE_OPTIONS=--quick for about a minute.
	$(BUILD)/bin/bench_node $(BENCH_NODE_OPTIONS)

.PHONY: bench-decisions
bench-decisions: build ## Times the decision code as its sets grow, with complexity fits.
	$(BUILD)/bin/bench_decisions $(BENCH_DECISIONS_OPTIONS)

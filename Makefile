# Every check of CI is a target here, so that a failed check can be rerun by its name.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
export CCACHE_SLOPPINESS := pch_defines,time_macros

BUILD ?= build
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
TIDY_SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp')
JOBS ?= $(shell nproc)

.PHONY: packages configure build test lint format format-check tidy asan clean

packages: ## Installs the packages listed in packages.txt, unless all of them are present.
	@dpkg -s $$(cat packages.txt) >/dev/null 2>&1 || \
		(apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $$(cat packages.txt))

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: configure
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

tidy: configure
	@echo $(TIDY_SOURCES) | xargs -n 2 -P $(JOBS) clang-tidy -p $(BUILD) --quiet 2>/dev/null || (echo "clang-tidy found faults" >&2; exit 1)

lint: format-check tidy

asan: packages
	cmake -S . -B build-asan -G Ninja -DPOPLARPORT_SANITIZERS=address,undefined -DCMAKE_BUILD_TYPE=Debug >/dev/null
	cmake --build build-asan -j $(JOBS)
	ctest --test-dir build-asan --output-on-failure -j 4

clean:
	rm -rf build build-asan out

.PHONY: bench-policy
bench-policy: build ## Compares routing and admission policies on fakes under a fake clock.
	$(BUILD)/bin/bench_policy

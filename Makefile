# The workspace's commands; see README.md.
BUILD ?= build
# The shape that the demo runs: cascadia or veritas.
DEPLOYMENT ?= cascadia

# Worktrees in other folders share the compiler cache.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all install build format check lint test demo bench fuzz clean

# How long `make fuzz` explores; SEED=n begins with a seed it printed.
SECONDS ?= 60
FUZZERS ?= batch cluster document entry policy store

all: build

install:
	./scripts/install_packages.sh

$(BUILD)/build.ninja: | install
	cmake -S . -B $(BUILD) -G Ninja

build: install $(BUILD)/build.ninja
	cmake --build $(BUILD)

format:
	git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs clang-format -i

check: install
	./scripts/check_format.sh

lint: build
	./scripts/lint.sh $(BUILD)

test: check build lint
	./scripts/run_tests.sh $(BUILD)

demo: build
	$(BUILD)/testing/hibiscus_demo --programs=$(BUILD) \
		--deployment=$(DEPLOYMENT)

# Compares placement policies on both workloads; see docs/MEASUREMENTS.md.
ROUNDS ?= 5
COMPARISON ?= placement
bench: build
	for w in cascadia veritas; do \
	    $(BUILD)/testing/hibiscus_bench --programs=$(BUILD) --workload=$$w \
	        --comparison=$(COMPARISON) --rounds=$(ROUNDS) \
	        --commit=$$(git rev-parse --short HEAD) || exit 1; \
	done

fuzz: build
	for p in $(FUZZERS); do \
	    HIBISCUS_FUZZ_SECONDS=$(SECONDS) \
	    $(if $(SEED),HIBISCUS_FUZZ_SEED=$(SEED)) \
	    $(BUILD)/packages/$$p/$${p}_test --gtest_filter='*fuzz*' || exit 1; \
	done

clean:
	rm -rf $(BUILD)

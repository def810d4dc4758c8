# The workspace's commands; see README.md.
BUILD ?= build
# The shape that the demo runs: cascadia or veritas.
DEPLOYMENT ?= cascadia

# Worktrees in other folders share the compiler cache.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all install build format check lint test demo clean

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

clean:
	rm -rf $(BUILD)

# The developer commands. Each installs the Debian packages that it needs.
BUILD ?= build
PACKAGES = ccache clang-format clang-tidy-16 cmake curl doctest-dev g++ \
    libboost1.81-dev libcli11-dev libfmt-dev libjsoncpp-dev \
    libjsonrpccpp-dev libmd-dev libmsgpuck-dev libspdlog-dev libxxhash-dev \
    ninja-build spin zlib1g-dev

.PHONY: all install-packages build check format-check lint demo capacity clean

all: build

install-packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { \
	    apt-get update -qq && \
	    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) \
	        >/dev/null; }

build: install-packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

# Builds, checks the formatting, lints and runs every test.
check: build format-check lint
	@testsuite/run_all.sh $(BUILD)

format-check: install-packages
	@clang-format --dry-run --Werror $$(git ls-files '*.hpp' '*.cpp')

lint: build
	@run-clang-tidy-16 -quiet -p $(BUILD) -clang-tidy-binary clang-tidy-16 \
	    -extra-arg=-Wno-unknown-warning-option \
	    '(src|platform|testsuite)/.*\.cpp$$' >$(BUILD)/lint.txt 2>&1 || \
	    { grep -E 'error:|warning:' $(BUILD)/lint.txt; exit 1; }

# Simulates the region of the user `agencia` while a failure domain is withdrawn
# and returns.
demo: build
	@$(BUILD)/bin/hibload run --experiment domain --user agencia --seconds 30 \
	    --json $(BUILD)/demo.json

# Measures one node with notes of several sizes and prints the slopes.
capacity: build
	@$(BUILD)/bin/hibload capacity --json $(BUILD)/capacity.json

clean:
	@rm -rf $(BUILD)

# Build, test and demo targets. `make test` and `make demo` install the packages they need on a fresh Debian machine.
PACKAGES = g++ cmake ninja-build ccache curl clang-format clang-tidy libboost1.81-dev libboost-fiber1.81-dev \
	libboost-context1.81-dev libgflags-dev libgoogle-glog-dev libcriterion-dev libssl-dev libfmt-dev libxxhash-dev \
	nlohmann-json3-dev librapidcheck-dev zlib1g-dev prometheus-cpp-dev
BUILD ?= build

.PHONY: packages build test demo format lint golden

packages:
	@scripts/packages.sh $(PACKAGES)

build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	ninja -C $(BUILD)

test: build
	scripts/test.sh $(BUILD)

demo: build
	scripts/demo.sh $(BUILD)

format: packages
	scripts/format.sh --check

lint: build
	scripts/lint.sh $(BUILD)

# Regenerates the golden session; review the diff before committing it.
golden: build
	$(BUILD)/rattanshunt-lab golden >tests/golden/session.txt

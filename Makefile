# SPDX-License-Identifier: BSL-1.0
BUILD := build
.PHONY: all deps configure test demo lint format soak fuzz clean

all: configure
	@ninja -C $(BUILD) --quiet

deps:
	@scripts/install-deps

configure: deps
	@test -f $(BUILD)/build.ninja || \
	    cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null

test: all
	@scripts/run-tests $(BUILD)

demo: all
	@scripts/demo $(BUILD)/bin

# Fresh random histories of the promises: make soak SEED=7 MINUTES=5
SEED ?= 1
MINUTES ?= 1
soak: all
	@scripts/soak $(BUILD)/bin $(SEED) $(MINUTES)

# Many random inputs to every decoder: make fuzz SEED=7 INPUTS=20000
INPUTS ?= 20000
fuzz: all
	@cd $(BUILD) && RC_PARAMS="seed=$(SEED) max_success=$(INPUTS)" \
	    bin/pepperturn-fleet-test "[fuzz]"
	@cd $(BUILD) && RC_PARAMS="seed=$(SEED) max_success=$(INPUTS)" \
	    bin/pepperturn-test "[fuzz]"

lint: configure
	@scripts/check-boundary
	@scripts/lint $(BUILD)

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' | \
	    grep -v generated | xargs clang-format -i

clean:
	@rm -rf $(BUILD)

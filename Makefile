BUILD_DIR ?= build
SANITIZER ?=
TEST_ARGS ?=
FILTER ?=

.PHONY: build test bench capacity demo fuzz soak

build:
	@bash .ci/install-packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DFULMARROCK_SANITIZER=$(SANITIZER) >/dev/null
	@ninja -C $(BUILD_DIR) --quiet

test: build
	@bash .ci/run-tests $(BUILD_DIR) $(TEST_ARGS)

bench: build
	@$(BUILD_DIR)/bench/fulmarrock_bench $(FILTER)

# Measurements for docs/CAPACITY.md: simulated roles, then real processes.
AGENTS ?= 60
capacity: build
	@$(BUILD_DIR)/bench/fulmarrock_capacity
	@bash bench/capacity/processes.sh $(BUILD_DIR) $(AGENTS)

# Property tests with random failures and fresh seeds; a failing run prints its
# seed and its script of failures.
FUZZ_RUNS ?= 2000
fuzz: build
	@seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); \
	for test in $(BUILD_DIR)/tests/*_test; do \
	  echo "seed $$seed: $$test"; \
	  RC_PARAMS="seed=$$seed max_success=$(FUZZ_RUNS)" $$test || exit 1; \
	done

demo: build
	@bash tests/process/demo.sh $(BUILD_DIR)

# Random faults against the real programs with fresh seeds; see soak/README.md.
SOAK_ARGS ?= --runs 10 --seconds 15
soak: build
	@python3 soak/soak.py --build $(BUILD_DIR) $(SOAK_ARGS)

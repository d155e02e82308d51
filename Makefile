BUILD_DIR ?= build
SANITIZER ?=
TEST_ARGS ?=

.PHONY: build test bench demo

build:
	@bash .ci/install-packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DFULMARROCK_SANITIZER=$(SANITIZER) >/dev/null
	@ninja -C $(BUILD_DIR) --quiet

test: build
	@ctest --test-dir $(BUILD_DIR) --output-on-failure -j 8 $(TEST_ARGS)

bench: build
	@$(BUILD_DIR)/bench/fulmarrock_bench $(FILTER)

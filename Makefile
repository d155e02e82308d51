BUILD_DIR ?= build
SANITIZER ?=
TEST_ARGS ?=
FILTER ?=

.PHONY: build test bench capacity demo fuzz

build:
	@bash .ci/install-packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DFULMARROCK_SANITIZER=$(SANITIZER) >/dev/null
	@ninja -C $(BUILD_DIR) --quiet

test: build
	@bash .ci/run-tests $(BUILD_DIR) $(TEST_ARGS)

bench: build
	@$(BUILD_DIR)/bench/fulmarrock_bench $(FILTER)

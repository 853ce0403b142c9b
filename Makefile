# Short names for the usual tasks; the work is done by CMake, ninja and ctest.
JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: all demo check bench lint fuzz sanitize clean

all: $(BUILD)/build.ninja
	@ninja -C $(BUILD) -j $(JOBS)

$(BUILD)/build.ninja:
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER=g++ > /dev/null

demo:
	@./tools/install_packages
	@$(MAKE) --no-print-directory all
	@./tools/demo $(BUILD)

check: all
	@./tools/run_tests $(BUILD)

bench: all
	@./tools/run_bench $(BUILD)

lint: $(BUILD)/build.ninja
	@./tools/lint $(BUILD) $(JOBS)

sanitize:
	@./tools/run_sanitized build-sanitized $(JOBS)

fuzz:
	@./tools/run_fuzz $(JOBS)

clean:
	@rm -rf $(BUILD)

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SUITE_TIMEOUT_S := 560
SUITES := $(notdir $(patsubst %/,%,$(wildcard features/*/)))

.PHONY: setup rename-tools demo test check format bench bench-history soak clean

setup: $(VENV)/.done

$(VENV)/.done: constraints.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml platform/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --no-build-isolation -c constraints.txt setuptools wheel
	$(BIN)/pip install -q --no-build-isolation -c constraints.txt \
	  $(foreach package,$(wildcard packages/*) platform platform/testing,-e $(package)) \
	  behave hypothesis ruff
	touch $@

rename-tools: setup
	$(BIN)/pip install -q -c constraints.txt basedpyright

demo: setup
	$(BIN)/python -m mulberryledge_testing.demo falaj yayla
	$(BIN)/behave --no-capture --no-timings features/platform \
	  -n "A job is accepted, run" -n "A job fails"

test: check $(addprefix suite-,$(SUITES))
	$(BIN)/python tools/summary.py build

suite-%: setup
	@mkdir -p build
	@rm -f build/$*.json
	@timeout $(SUITE_TIMEOUT_S) $(BIN)/behave \
	  --format progress --outfile build/$*.txt \
	  --format json --outfile build/$*.json features/$* \
	  > build/$*.log 2>&1 || true

check: setup
	$(BIN)/ruff format --check -q .
	$(BIN)/ruff check -q .

format: setup
	$(BIN)/ruff format -q .
	$(BIN)/ruff check -q --fix .

bench: setup
	$(BIN)/python -m mulberryledge_testing.bench

bench-history: setup
	$(BIN)/python -m mulberryledge_testing.bench --history docs/bench/history.jsonl \
	  --commit $$(git rev-parse --short HEAD)

soak: setup
	$(BIN)/python -m mulberryledge_testing.soak

clean:
	rm -rf $(VENV) build

# `make test` and `make demo` install into .venv and need nothing else but Python 3.11.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Processes that run the tests: a number, or auto for one a processor; 0 runs them in one process.
TEST_WORKERS ?= 0
MAX_TEST_WORKERS := 6

$(VENV)/installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

.PHONY: install test lint format demo
install: $(VENV)/installed

test: install
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --maxprocesses $(MAX_TEST_WORKERS) --dist worksteal

lint: install
	$(BIN)/black --check -q chiveswitch features conftest.py || $(BIN)/black --check chiveswitch features conftest.py
	$(BIN)/ruff check chiveswitch features conftest.py

format: install
	$(BIN)/black -q chiveswitch features conftest.py
	$(BIN)/ruff check --fix chiveswitch features conftest.py

demo: install
	$(BIN)/chiveswitch demo

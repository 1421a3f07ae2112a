PYTHON ?= python3
BIN := .venv/bin

.PHONY: env demo test format lint types unit bench policy clean

env: .venv/ready

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install -q -r requirements.lock
	$(BIN)/python -m pip install -q --no-build-isolation --no-deps -e .
	touch .venv/ready

demo: env
	$(BIN)/python -m tools.demo

test: env format lint types unit

format: env
	$(BIN)/ruff format --check .

lint: env
	$(BIN)/ruff check .

types: env
	$(BIN)/mypy

unit: env
	$(BIN)/python -m pytest

bench: env
	$(BIN)/python -m tools.bench_router
	$(BIN)/python -m tools.bench

policy: env
	$(BIN)/python -m tools.policy
	$(BIN)/python -m tools.slot_policy $(SITE)

clean:
	rm -rf .venv build out

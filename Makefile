VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: env demo test lint format bench soak soak-cell

env: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	python3.11 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

lint: env
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 src tests benchmarks
	$(VENV)/bin/mypy

format: env
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	$(PYTHON) -m tests.known_red
	$(PYTHON) -m pytest

demo: env
	$(PYTHON) -m tests.demo

bench: env
	$(PYTHON) -m benchmarks

soak: env
	$(PYTHON) -m tests.soak

soak-cell: env
	$(PYTHON) -m tests.platform.soak

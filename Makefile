VENV ?= .venv
PY := PYTHONPATH=src $(VENV)/bin/python
PYTHON ?= python3
SEED ?= 1
EXAMPLES ?= 100
STEPS ?= 40

fuzz: setup
	$(PY) -m tests.fuzz --seed $(SEED) --examples $(EXAMPLES) --steps $(STEPS)

mutants: setup
	$(PY) -m tests.mutants

matrix: setup
	$(PY) -m plantainridge matrix --seed $(SEED)

.PHONY: fuzz mutants matrix setup demo test format lint types check

# Installs again only when the lock file's text has changed.
setup:
	@test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	@cmp -s requirements.lock $(VENV)/.installed || { \
	  $(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock && \
	  cp requirements.lock $(VENV)/.installed; }

demo: setup
	$(PY) -m plantainridge demo

test: setup
	$(PY) -m nose2 -s tests -t .

format: setup
	$(VENV)/bin/yapf --in-place --recursive --parallel src tests

check: setup
	$(VENV)/bin/yapf --diff --recursive --parallel src tests

lint: setup
	$(VENV)/bin/pylint src/plantainridge tests

types: setup
	$(VENV)/bin/mypy

VENV ?= .venv
PY := PYTHONPATH=src $(VENV)/bin/python
PYTHON ?= python3
SEED ?= 1
EXAMPLES ?= 100
STEPS ?= 40

fuzz: setup
	$(PY) -m tests.fuzz --seed $(SEED) --examples $(EXAMPLES) --steps $(STEPS)

.PHONY: fuzz setup demo test format lint types check binary binary-test capacity

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
	$(VENV)/bin/yapf --in-place --recursive --parallel src tests tools

check: setup
	$(VENV)/bin/yapf --diff --recursive --parallel src tests tools

lint: setup
	$(VENV)/bin/pylint src/plantainridge tests tools

types: setup
	$(VENV)/bin/mypy

# One file that needs Python 3.11 and nothing else of Python's.
binary: setup
	$(VENV)/bin/python tools/pack.py build/plantainridge

# Sends a request through processes of the binary; none may have a child.
binary-test: binary
	build/plantainridge version
	PLANTAINRIDGE_TEST_BINARY=build/plantainridge \
	  $(PY) -m nose2 -s tests -t . tests.test_processes

capacity: setup
	$(PY) -m plantainridge bench footprint --seed $(SEED)
	$(PY) -m plantainridge bench entry --seed $(SEED) --profile

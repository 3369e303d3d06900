VENV ?= .venv
PY := PYTHONPATH=src $(VENV)/bin/python
PYTHON ?= python3
SEED ?= 1
EXAMPLES ?= 100
RUNS ?= 10
JOBS ?= 2
STEPS ?= 40

CI_SEED := 1
CI_PAIRS := 40
CI_PARTS := 1 2 3 4

.PHONY: all setup demo test format lint types check fuzz soak soak-mutants matrix mutants proof binary binary-test capacity

all: test

# Reinstalls only if the lock file has changed.
setup:
	@test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	@cmp -s requirements.lock $(VENV)/.installed || { \
	  $(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock && \
	  cp requirements.lock $(VENV)/.installed; }

demo: setup
	$(PY) -m plantainridge demo

test: setup
	$(PY) -m nose2 --plugin tests.known_red --plugin tests.hang_dump -s tests -t .

format: setup
	$(VENV)/bin/yapf --in-place --recursive --parallel src tests tools

check: setup
	$(VENV)/bin/yapf --diff --recursive --parallel src tests tools

lint: setup
	$(VENV)/bin/pylint src/plantainridge tests tools

types: setup
	$(VENV)/bin/mypy

# Builds one executable file that needs only a Python 3.11 interpreter.
binary: setup
	$(VENV)/bin/python tools/pack.py build/plantainridge

# Sends a request through processes of the binary, which must not fork.
binary-test: binary
	build/plantainridge version
	PLANTAINRIDGE_TEST_BINARY=build/plantainridge \
	  $(PY) -m nose2 -s tests -t . tests.test_processes

capacity: setup
	$(PY) -m plantainridge bench footprint --seed $(SEED)
	$(PY) -m plantainridge bench entry --seed $(SEED) --profile

# Fuzzes: make fuzz SEED=N EXAMPLES=N STEPS=N
fuzz: setup
	$(PY) -m tests.fuzz --seed $(SEED) --examples $(EXAMPLES) --steps $(STEPS)

# Runs real processes under faults: make soak SEED=N RUNS=N
soak: setup
	$(PY) -m tests.soak --seed $(SEED) --runs $(RUNS) --jobs $(JOBS)

# Each mutant violates one invariant, which the soak test must detect at its seed.
soak-mutants: setup
	$(PY) -m tests.soak.mutants

matrix: setup
	$(PY) -m plantainridge matrix --seed $(SEED)

mutants: setup
	$(PY) -m tests.mutants

# Fixed amount of fuzzing and the complete fault matrix; run it with --jobs.
proof: proof-fuzz proof-stopped proof-soak known-red $(CI_PARTS:%=proof-matrix-%)

# Prints the known failures. While the list is empty, none of them is run.
known-red:
	@cat KNOWN-RED.txt

.PHONY: proof-fuzz proof-stopped proof-soak known-red
proof-fuzz: setup
	$(PY) -m tests.fuzz --seed $(CI_SEED) --examples 60 --steps 40

# Regression seed: a VM that was paused during its stop cut off requests.
proof-stopped: setup
	$(PY) -m tests.fuzz --seed 987123 --examples 100 --steps 60

proof-soak: setup
	$(PY) -m tests.soak --seed $(CI_SEED) --runs 2 --seconds 8 --jobs 1

proof-matrix-%: setup
	$(PY) -m plantainridge matrix --seed $(CI_SEED) --pairs $(CI_PAIRS) \
	  --part $*/$(words $(CI_PARTS))

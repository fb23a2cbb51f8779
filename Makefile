.PHONY: setup test format demo up binary bench capacity soak clean

VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --no-deps -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e . 
	touch $(STAMP)

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	HYPOTHESIS_PROFILE=ci $(PY) -m devtools.run_tests

demo: $(STAMP)
	$(PY) -m devtools.demo

up: $(STAMP)
	@exec $(PY) -m devtools.up

binary: $(STAMP)
	$(PY) -m devtools.binary

bench: $(STAMP)
	$(PY) -m bench

capacity: $(STAMP)
	$(PY) -m bench.capacity

SEED ?= 1
soak: $(STAMP)
	$(PY) -m soak --seed $(SEED)

clean:
	rm -rf $(VENV) build dist *.egg-info

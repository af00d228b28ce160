# VENV may name an existing environment; it is created where it is missing.
VENV ?= .venv
PYTHON ?= python3.11
PY := $(VENV)/bin/python
STAMP := $(VENV)/.requirements-installed

.PHONY: demo test lint format bench soak proto settings-docs clean

demo: $(STAMP)
	$(PY) -m rattanroute.tools.demo

test: $(STAMP)
	$(PY) -m rattanroute.tools.run_tests

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(STAMP)
	$(PY) -m rattanroute.tools.bench $(if $(ONLY),--only $(ONLY))

soak: $(STAMP)
	$(PY) -m rattanroute.tools.soak --count $(or $(SEEDS),4) --jobs $(or $(JOBS),2)

proto: $(STAMP)
	PATH="$(abspath $(VENV))/bin:$$PATH" $(PY) -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. rattanroute/proto/*.proto

settings-docs: $(STAMP)
	$(PY) -m rattanroute.tools.settings_docs > docs/SETTINGS.md

$(STAMP): requirements.txt
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf $(VENV) build

# Each target sets up what it needs: a virtual environment from exact pins.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.ready

SEEDS ?= 1-10
SECONDS ?= 10

.PHONY: demo test lint format bench slopes costs mutants soak proto clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m examples.demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m bench.policies
	$(BIN)/python -m bench.gathers
	$(BIN)/python -m bench.crashes

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

costs: $(STAMP)
	$(BIN)/python -m bench.costs

mutants: $(STAMP)
	$(BIN)/python -m bench.mutants

soak: $(STAMP)
	$(BIN)/python -m soak --seeds $(SEEDS) --seconds $(SECONDS)

proto: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I . \
	  --python_out=. --grpclib_python_out=. greengagemoor/wire/peers.proto

clean:
	rm -rf $(VENV)

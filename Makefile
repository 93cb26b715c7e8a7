PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
DEPLOYMENT ?= fichier

.PHONY: test demo format clean

test: $(STAMP)
	$(BIN)/python -m tests

demo: $(STAMP)
	$(BIN)/ragwort-demo examples/$(DEPLOYMENT)

format: $(STAMP)
	$(BIN)/ruff check --fix-only --quiet src tests features examples deploy
	$(BIN)/ruff format src tests features examples deploy

$(STAMP): pyproject.toml constraints.txt
	command -v $(PYTHON) >/dev/null && $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[plots,dev]'
	touch $(STAMP)

clean:
	rm -rf $(VENV) out

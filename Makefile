# `make demo` sets up the environment and runs a scripted workload with faults; `make test` sets up, lints and tests.
PY := .venv/bin/python

.PHONY: setup demo test lint hooks

setup: .venv/.ready hooks

# Enables githooks/, which refuses commits without a body or with a long title. Does nothing outside a repository.
hooks:
	@git config core.hooksPath githooks 2>/dev/null || true

.venv/.ready: requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	.venv/bin/pip install -qq --disable-pip-version-check -r requirements.txt
	.venv/bin/pip install -qq --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	.venv/bin/banklift play short

lint: setup
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache
	python3 tools/commits.py

test: lint
	.venv/bin/pytest -q -n 4

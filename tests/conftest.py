"""Deselects the tests listed in KNOWN-RED.txt and prints them in the header; all other tests run."""

import pytest

from tests import known_red


def pytest_addoption(parser):
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt as well")


def pytest_collection_modifyitems(config, items):
    entries = known_red.read()
    collected = {} if "::" in " ".join(config.args) else known_red.by_file(item.nodeid for item in items)
    unknown = known_red.unknown(entries, collected, config.rootpath)
    if unknown:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(unknown)}")
    if not config.getoption("--known-red"):
        known_failures = {entry.test for entry in entries}
        config.hook.pytest_deselected(items=[item for item in items if item.nodeid in known_failures])
        items[:] = [item for item in items if item.nodeid not in known_failures]


def pytest_report_header(config):
    deselected = [] if config.getoption("--known-red") else known_red.read()
    return [f"KNOWN RED, not run: {entry.test} ({entry.seen}; issue {entry.issue})" for entry in deselected]

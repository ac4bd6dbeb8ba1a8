"""Entry point of `python -m basalthook`."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:  # else a SIGHUP during the imports would end the process
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program.lean_imports import import_network_libraries

    import_network_libraries()

from .program.commands import main  # noqa: E402

main(prog_name="basalthook")

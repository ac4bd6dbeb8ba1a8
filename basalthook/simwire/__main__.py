"""The process loop: one batch per line of standard input, one reply per line of standard output."""

import sys

import orjson

from .codec import BatchProcessor


def main() -> int:
    processor = BatchProcessor()
    read, write, flush = sys.stdin.buffer, sys.stdout.buffer.write, sys.stdout.buffer.flush
    for line in read:
        try:
            reply = processor.process(orjson.loads(line))
        except Exception as error:  # the simulator ends the run; the traceback goes to its log
            sys.stderr.write(f"basalthook: cannot go on after {line[:200]!r}: {error!r}\n")
            raise
        write(orjson.dumps(reply) + b"\n")
        flush()
    return 0


sys.exit(main())

"""The process loop: a batch on a line of standard input, a reply on a line of standard output."""

import sys

import orjson

from .codec import BatchProcessor


def main() -> int:
    processor = BatchProcessor()
    read, write, flush = sys.stdin.buffer, sys.stdout.buffer.write, sys.stdout.buffer.flush
    for line in read:
        try:
            reply = processor.process(orjson.loads(line))
        except Exception as fault:  # the bench ends the run on it; the trace is for whoever reads the log
            sys.stderr.write(f"basalthook: cannot go on after {line[:200]!r}: {fault!r}\n")
            raise
        write(orjson.dumps(reply) + b"\n")
        flush()
    return 0


sys.exit(main())

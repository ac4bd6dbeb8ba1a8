"""The log keeps writing whatever values its events have."""

import json
import os
import time
import unittest
from unittest.mock import patch

from basalthook.program.log import Log


class LogLines(unittest.TestCase):
    def written(self, *events):
        """The lines that the log wrote for these events, parsed."""
        reading, writing = os.pipe()
        with patch("sys.stdout") as stdout, os.fdopen(reading) as lines:
            stdout.fileno.return_value = writing
            log = Log("p0")
            for name, fields in events:
                log.log_event(name, **fields)
                time.sleep(0.1)  # so that each is written separately
            log.close()
            os.close(writing)
            return [json.loads(line) for line in lines]

    def test_a_field_that_json_cannot_encode_does_not_stop_the_log(self):
        events = ("surrogate", {"path": "/a\udc80"}), ("long", {"number": 2**70}), ("last", {"n": 1})
        lines = self.written(*events)
        self.assertEqual([line["event"].strip("'") for line in lines], ["surrogate", "long", "last"])
        self.assertIn("udc80", lines[0]["path"])
        self.assertEqual(lines[2]["n"], 1)


if __name__ == "__main__":
    unittest.main()

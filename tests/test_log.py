"""The log goes on whatever it is told."""

import json
import os
import time
import unittest
from unittest.mock import patch

from basalthook.program.log import Log


class Written(unittest.TestCase):
    def written(self, *events):
        """What the log wrote of these events, line by line."""
        reading, writing = os.pipe()
        with patch("sys.stdout") as stdout, os.fdopen(reading) as lines:
            stdout.fileno.return_value = writing
            log = Log("p0")
            for name, fields in events:
                log.log_event(name, **fields)
                time.sleep(0.1)  # each in a write of its own
            log.close()
            os.close(writing)
            return [json.loads(line) for line in lines]

    def test_a_field_that_is_no_json_does_not_end_the_log(self):
        events = ("surrogate", {"path": "/a\udc80"}), ("long", {"number": 2**70}), ("last", {"n": 1})
        lines = self.written(*events)
        self.assertEqual([line["event"].strip("'") for line in lines], ["surrogate", "long", "last"])
        self.assertIn("udc80", lines[0]["path"])
        self.assertEqual(lines[2]["n"], 1)


if __name__ == "__main__":
    unittest.main()

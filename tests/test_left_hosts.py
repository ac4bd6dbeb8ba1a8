"""A host that discovery has left out stays left out, whatever asks for the list later."""

import unittest

from basalthook.protocol.catalogue import HostList, HostRecord
from basalthook.routing.host_registry import HostRegistry

DISABLED_AT, ENABLED_AT = 1, 2


def make_record(name, port, **changes):
    return HostRecord(name, ("127.0.0.1", port), "a", 0, True, False, 1.0, 0)._replace(**changes)


def whole_list(version, *records):
    return HostList(version, True, records)


class Registry(unittest.TestCase):
    """Two hosts are listed; an attempt is open at the first, and then it leaves."""

    def leave_out_first(self, use_unlisted=False, by_change=False):
        """`by_change`: a change says that it is removed; else a whole list leaves it out."""
        registry = HostRegistry(use_unlisted)
        self.second = make_record("s-1", 2)
        event = registry.apply_host_list(whole_list(1, make_record("s-0", 1), self.second), True)
        self.number = event.hosts[0].host_id
        registry.attempt_started(self.number)
        removed = make_record("s-0", 1, ready=False, removed=True)
        change = HostList(2, False, (removed,))
        registry.apply_host_list(change if by_change else whole_list(2, self.second), True)
        return registry

    def test_a_host_that_a_whole_list_left_out_is_recorded_as_removed_while_an_attempt_is_open(self):
        # review/8: it was recorded as listed, and a new process used it again
        for use_unlisted in (False, True):
            registry = self.leave_out_first(use_unlisted)
            self.assertTrue(registry.entries[self.number].discovered.removed)
            self.assertEqual(registry.is_ready(self.number), use_unlisted)

    def test_a_host_that_has_left_is_not_ready_again_when_an_operator_enables_it(self):
        # same cause as review/8: the list was asked for again by an operator's call
        registry = self.leave_out_first()
        registry.overrides.set_disabled("s-0", DISABLED_AT, True)
        registry.reapply_overrides({"s-0"})
        registry.overrides.set_disabled("s-0", ENABLED_AT, False)
        (entry,) = registry.reapply_overrides({"s-0"}).hosts
        self.assertFalse(entry.ready or registry.is_ready(self.number))

    def test_a_host_that_left_and_is_still_in_use_is_drained_when_an_operator_disables_it(self):
        # same cause as review/8: what discovery said hid what the operator said, after a change
        for by_change in (False, True):
            registry = self.leave_out_first(use_unlisted=True, by_change=by_change)
            self.assertTrue(registry.is_ready(self.number))
            registry.overrides.set_disabled("s-0", DISABLED_AT, True)
            (entry,) = registry.reapply_overrides({"s-0"}).hosts
            self.assertEqual((entry.ready, entry.draining), (False, True))
            self.assertFalse(registry.is_ready(self.number))

    def test_a_host_that_left_and_is_still_in_use_ends_when_another_one_has_its_address(self):
        # same cause as review/8: after a change it stayed in use beside the new one
        for by_change in (False, True):
            registry = self.leave_out_first(use_unlisted=True, by_change=by_change)
            event = registry.apply_host_list(whole_list(3, self.second, make_record("s-2", 1)), True)
            entries = {entry.host_id: entry for entry in event.hosts}
            self.assertFalse(entries[self.number].ready)
            self.assertFalse(registry.is_ready(self.number))

    def test_a_host_that_had_left_is_ready_again_when_a_list_names_it(self):
        registry = self.leave_out_first()
        registry.apply_host_list(whole_list(3, make_record("s-0", 1), self.second), True)
        self.assertTrue(registry.is_ready(self.number))
        self.assertFalse(registry.entries[self.number].discovered.removed)


if __name__ == "__main__":
    unittest.main()

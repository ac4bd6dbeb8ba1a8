"""Messages: alike wherever they are split, refused where two readers could differ."""

import random
import unittest

import orjson

from basalthook.policy import interface
from basalthook.protocol import application, catalogue, hosts, news
from basalthook.protocol.http1 import HEAD_MOST, Malformed, Message, Parser

POST = (
    b"POST /survey-submit/a?b=1 HTTP/1.1\r\nHost: svc\r\nRequest-Id: 7\r\nCookie: j=1; k=ab\r\n"
    b"Request-Timeout: 0.480\r\nConnection: X-Own\r\nX-Own: 1\r\nContent-Length: 5\r\n\r\nhello"
)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\nhost\r\n1\r\n!\r\n0\r\nTrailer: 1\r\n\r\n"
)


def parse(data, responses=False, end=False):
    parser = Parser(responses)
    parser.feed(data)
    if end:
        parser.end()
    return parser.found


def answered(status, *fields, framing="Content-Length: 0"):
    return parse("\r\n".join([f"HTTP/1.1 {status} X", *fields, framing, "", ""]).encode(), True)


class Parsing(unittest.TestCase):
    def test_split_at_any_byte_messages_parse_alike(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
        for data, responses in ((POST, False), (b"\r\n" + POST, False), (interim + CHUNKED, True)):
            whole = parse(data, responses)
            self.assertIsInstance(whole, Message)
            self.assertIn(whole.body, (b"hello", b"host!"))
            for at in range(len(data)):
                parser = Parser(responses)
                parser.feed(data[:at])
                self.assertIsNone(parser.found)
                parser.feed(data[at:])
                self.assertEqual(parser.found, whole)
            parser = Parser(responses)
            for at in range(len(data)):
                parser.feed(data[at : at + 1])
            self.assertEqual(parser.found, whole)

    def test_a_short_head_behind_a_long_interim_one_is_seen(self):
        parser = Parser(True)
        parser.feed(b"HTTP/1.1 103 Early\r\nLink: " + b"x" * 300)
        parser.feed(b"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(parser.found.status, 200)
        self.assertEqual(parse(b"HTTP/1.1 100 X\r\n\r\n" * 100, True).status, 400)  # without end

    def test_what_two_readers_could_read_differently_is_refused(self):
        def head(*fields, line="POST / HTTP/1.1"):
            return "\r\n".join([line, "Host: s", *fields, "", ""]).encode()

        for data, status in (
            (head("Content-Length: 1", "Content-Length: 2"), 400),
            (head("Content-Length: -1"), 400),
            (head("Content-Length: 1, 2"), 400),
            (head("Content-Length: 0x1"), 400),
            (head("Content-Length:"), 400),
            (head("Content-Length: 3", "Transfer-Encoding: chunked"), 400),
            (head("Transfer-Encoding: gzip, chunked"), 501),
            (head("Transfer-Encoding: chunked, x"), 501),
            (head("A : 1"), 400),
            (head("A: 1", " folded"), 400),
            (head("A: \x00"), 400),
            (head(line="POST /a b HTTP/1.1"), 400),
            (head(line="POST / HTTP/2.0"), 505),
            (head("Host: t"), 400),
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (b"\x16\x03\x01\r\n\r\n", 400),
            (head("Content-Length: 65537"), 413),
            (head("A: " + "a" * HEAD_MOST), 431),
            (b"A" * (HEAD_MOST + 1), 431),
            (head("Transfer-Encoding: chunked") + b"1\r\nab\r\n", 400),
            (head("Transfer-Encoding: chunked") + b"-1\r\n", 400),
            (head("Transfer-Encoding: chunked") + b"10001\r\n", 413),
            (head("Transfer-Encoding: chunked") + b"1" * 300, 400),
        ):
            found = parse(data)
            self.assertIsInstance(found, Malformed, data[:60])
            self.assertEqual(found.status, status, data[:60])

    def test_a_bare_line_end_is_refused_at_once(self):
        for data in (b"GET / HTTP/1.1\nHost: s\n\n", b"GET / HTTP/1.1\r\nHost: s\n", b"\n"):
            for at in range(len(data)):
                parser = Parser(False)
                parser.feed(data[:at])
                parser.feed(data[at:])
                self.assertEqual(parser.found.status, 400)

    def test_random_bytes_do_no_harm(self):
        """No exception, no hang, no memory beyond the limits, alone or spliced into a sound message."""
        chance = random.Random(7)
        for n in range(3_000):
            noise, at = chance.randbytes(chance.randrange(1, 400)), chance.randrange(len(POST))
            for data in (noise, POST[:at] + noise + POST[at:], CHUNKED[:at] + noise[:3] + CHUNKED[at:]):
                parser = Parser(bool(n % 2), body_most=1_000)
                for cut in range(0, len(data), 37):
                    if parser.found is None:
                        parser.feed(data[cut : cut + 37])
                parser.end()
                self.assertLess(len(parser.rest) + len(parser.body), HEAD_MOST + 2_000)

    def test_bytes_after_a_message_stay(self):
        parser = Parser(False)
        parser.feed(POST + b"GET")
        self.assertEqual((parser.found.body, bytes(parser.rest)), (b"hello", b"GET"))

    def test_kept_open_only_as_both_versions_mean_it(self):
        for line, field, keep in (
            ("1.1", "X: y", True),
            ("1.1", "Connection: Close", False),
            ("1.0", "X: y", False),
            ("1.0", "Connection: keep-alive", True),
        ):
            self.assertEqual(parse(f"GET / HTTP/{line}\r\nHost: s\r\n{field}\r\n\r\n".encode()).keep, keep)

    def test_an_answer_without_a_length_ends_with_its_connection_and_is_marked(self):
        found = parse(b"HTTP/1.1 200 OK\r\n\r\npart", True, end=True)
        self.assertEqual((found.body, found.delimited, found.keep), (b"part", False, False))
        self.assertIsNone(parse(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", True, end=True))
        self.assertIsNone(parse(CHUNKED[:-2], True, end=True))


class Application(unittest.TestCase):
    PROFILES = {"parcel-view": 0, "survey-submit": 1}

    def test_a_transaction_is_read_from_header_path_and_cookie(self):
        found = application.asked(parse(POST), self.PROFILES)
        self.assertEqual((found.id, found.profile, found.key, found.timeout), ("7", 1, "ab", 0.48))
        for text in (b"2", b"2.", b".3", b"0.30000000000000004"):
            found = application.asked(parse(POST.replace(b"0.480", text)), self.PROFILES)
            self.assertEqual(found.timeout, float(text))

    def test_what_cannot_be_carried_is_turned_away(self):
        for old, new, status in (
            (b"survey-submit", b"unknown", 404),
            (b"Request-Id: 7", b"X: 7", 400),
            (b"0.480", b"nan", 400),
            (b"0.480", b"-1", 400),
            (b"0.480", b"1e9", 400),
            (b"0.480", b"999999", 400),
            (b"0.480", b"0", 400),
            (b"0.480", b"", 400),
            (b"Request-Timeout", b"X-Timeout", 400),
            (b"POST", b"PUT", 405),
            (b"Request-Id", b"Request-Id: 8\r\nRequest-Id", 400),
            (b"Cookie", b"Request-Class: parcel-view\r\nCookie", 404),
            (b" /survey", b" http://s/survey", 400),
        ):
            found = application.asked(parse(POST.replace(old, new)), self.PROFILES)
            self.assertEqual(getattr(found, "status", None), status, new)

    def test_a_hop_carries_method_path_body_and_id_unchanged_and_our_own_time(self):
        sent = parse(b"".join(hosts.hop(parse(POST), 0.3)))
        self.assertEqual((sent.method, sent.target, sent.body), ("POST", "/survey-submit/a?b=1", b"hello"))
        self.assertEqual((sent.field("request-id"), sent.field("request-timeout")), ("7", "0.3000"))
        self.assertEqual((sent.field("x-own"), sent.field("connection")), (None, None))

    def test_a_commit_is_passed_on_unchanged_with_framing_of_its_own(self):
        sent = parse(b"".join(application.committed(parse(CHUNKED, True), keep=False)), True)
        self.assertEqual((sent.status, sent.body, sent.keep), (200, b"host!", False))

    def test_only_a_rollback_says_that_trying_again_is_harmless(self):
        back = parse(application.rolled_back(0.25, True), True)
        self.assertEqual((back.status, back.field("retry-after")), (503, "0.250"))
        for late in (False, True):
            self.assertNotIn(parse(application.abandoned(late, True), True).status, (200, 429, 503))


class Outcomes(unittest.TestCase):
    def test_only_a_marked_answer_proves_that_nothing_ran(self):
        for found, outcome in (
            (answered(503, "Not-Started: 1"), interface.REFUSED),
            (answered(504, "Not-Started: 1"), interface.REFUSED),
            (answered(503), interface.ERROR),
            (answered(500, "Not-Started: 1"), interface.ERROR),
            (answered(200), interface.COMMITTED),
            (answered(204), interface.ERROR),
            (answered(404), interface.DECLINED),
            (answered(400), interface.DECLINED),
            (answered(429), interface.ERROR),
            (answered(302), interface.ERROR),
            (answered(999), interface.ERROR),
        ):
            self.assertEqual(hosts.outcome(found, True), outcome, found)

    def test_what_came_too_early_is_no_commit_and_an_end_in_order_ends_a_body(self):
        ended = parse(b"HTTP/1.1 200 OK\r\n\r\nall", True, end=True)
        self.assertEqual((ended.body, hosts.outcome(ended, True)), (b"all", interface.COMMITTED))
        self.assertEqual(hosts.outcome(answered(200), False), interface.ERROR)


class Catalogue(unittest.TestCase):
    LINE = {
        "id": "s-1",
        "addr": "127.0.0.9:8443",
        "zone": "a",
        "kind": "m",
        "cell": 3,
        "state": "up",
        "weight": 1.5,
        "started_ms": 12,
    }

    def read(self, **changes):
        entry = {k: v for k, v in {**self.LINE, **changes}.items() if v != "left out"}
        return catalogue.read(orjson.dumps({"version": 4, "full": False, "servers": [entry]}))

    def test_a_line(self):
        (line,) = self.read().lines
        self.assertEqual(line, ("s-1", ("127.0.0.9", 8443), "a", 3, True, False, 1.5, 12_000_000, "m", False))
        (line,) = self.read(cell=None, weight=None, started_ms=None).lines
        self.assertEqual(line[3:], (0, True, False, 1.0, 0, "m", False))
        self.assertEqual(
            [self.read(state=s).lines[0][4:6] for s in ("draining", "removed")],
            [(False, False), (False, True)],
        )

    def test_a_list_that_is_not_sound_is_no_list(self):
        for changes in (
            {"state": "resting"},
            {"id": "left out"},
            {"addr": "left out"},
            {"state": "left out"},
            {"addr": "nowhere"},
            {"addr": "127.0.0.1:0"},
            {"weight": "heavy"},
            {"weight": -1},
            {"started_ms": []},
            {"id": ""},
        ):
            self.assertIsNone(self.read(**changes), changes)
        for body in (
            b"",
            b"{",
            b"[]",
            b"7",
            b'{"version":1,"full":true}',
            b'{"full":true,"servers":[]}',
            b'{"version":1,"full":true,"servers":[3]}',
        ):
            self.assertIsNone(catalogue.read(body), body)


class News(unittest.TestCase):
    def test_there_and_back_and_what_is_not_ours_is_nothing(self):
        for what in (interface.FAULT_SEEN, interface.FAULT_CONFIRMED):
            self.assertEqual(news.read(news.encode(what, 2**48 - 1).hex()), (what, 2**48 - 1))
        for digits in (None, "", "0", "zz", "01", "00" * 7, "03" + "31" * 6, "01" * 8, "01" * 300):
            self.assertIsNone(news.read(digits))

"""Messages: parsed alike however they are split, rejected where two recipients could read them
differently."""

import random
import unittest

import orjson

from basalthook.policy import interface
from basalthook.protocol import application, catalogue, hosts, peer_messages
from basalthook.protocol.http1 import (
    MAX_CONNECTION_OPTIONS,
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    Message,
    Parser,
    Rejection,
    compile_field_line_pattern,
)

POST = (
    b"POST /survey-submit/a?b=1 HTTP/1.1\r\nHost: svc\r\nRequest-Id: 7\r\nCookie: j=1; k=ab\r\n"
    b"Request-Timeout: 0.480\r\nConnection: X-Own\r\nX-Own: 1\r\nContent-Length: 5\r\n\r\nhello"
)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\nhost\r\n1\r\n!\r\n0\r\nTrailer: 1\r\n\r\n"
)

LISTED = b"X-%d-3: y\r\nX-Kept: 1\r\n\r\n"


def parse(data, responses=False, end=False):
    parser = Parser(responses)
    parser.feed(data)
    if end:
        parser.feed_eof()
    return parser.result


def response_of(status, *fields, framing="Content-Length: 0"):
    return parse("\r\n".join([f"HTTP/1.1 {status} X", *fields, framing, "", ""]).encode(), True)


class Parsing(unittest.TestCase):
    def test_messages_parse_alike_when_split_at_any_byte(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
        for data, responses in ((POST, False), (b"\r\n" + POST, False), (interim + CHUNKED, True)):
            whole = parse(data, responses)
            self.assertIsInstance(whole, Message)
            self.assertIn(whole.body, (b"hello", b"host!"))
            for at in range(len(data)):
                parser = Parser(responses)
                parser.feed(data[:at])
                self.assertIsNone(parser.result)
                parser.feed(data[at:])
                self.assertEqual(parser.result, whole)
            parser = Parser(responses)
            for at in range(len(data)):
                parser.feed(data[at : at + 1])
            self.assertEqual(parser.result, whole)

    def test_a_short_head_after_a_long_interim_response_is_found(self):
        parser = Parser(True)
        parser.feed(b"HTTP/1.1 103 Early\r\nLink: " + b"x" * 300)
        parser.feed(b"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(parser.result.status, 200)
        # more interim responses than allowed
        self.assertEqual(parse(b"HTTP/1.1 100 X\r\n\r\n" * 100, True).status, 400)

    def test_what_two_recipients_could_read_differently_is_rejected(self):
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
            (head("A: " + "a" * MAX_HEAD_BYTES), 431),
            (b"A" * (MAX_HEAD_BYTES + 1), 431),
            (head("Transfer-Encoding: chunked") + b"1\r\nab\r\n", 400),
            (head("Transfer-Encoding: chunked") + b"-1\r\n", 400),
            (head("Transfer-Encoding: chunked") + b"10001\r\n", 413),
            (head("Transfer-Encoding: chunked") + b"1" * 300, 400),
        ):
            found = parse(data)
            self.assertIsInstance(found, Rejection, data[:60])
            self.assertEqual(found.status, status, data[:60])

    def test_a_bare_line_feed_is_rejected_at_once(self):
        for data in (b"GET / HTTP/1.1\nHost: s\n\n", b"GET / HTTP/1.1\r\nHost: s\n", b"\n"):
            for at in range(len(data)):
                parser = Parser(False)
                parser.feed(data[:at])
                parser.feed(data[at:])
                self.assertEqual(parser.result.status, 400)

    def test_random_bytes_do_no_harm(self):
        """No exception, no hang, no memory beyond the limits, alone or inserted into a valid message."""
        random_source = random.Random(7)
        for n in range(3_000):
            noise, at = (
                random_source.randbytes(random_source.randrange(1, 400)),
                random_source.randrange(len(POST)),
            )
            for data in (noise, POST[:at] + noise + POST[at:], CHUNKED[:at] + noise[:3] + CHUNKED[at:]):
                parser = Parser(bool(n % 2), max_body=1_000)
                for cut in range(0, len(data), 37):
                    if parser.result is None:
                        parser.feed(data[cut : cut + 37])
                parser.feed_eof()
                self.assertLess(len(parser.unparsed) + len(parser.body), MAX_HEAD_BYTES + 2_000)

    def test_bytes_after_a_message_are_kept(self):
        parser = Parser(False)
        parser.feed(POST + b"GET")
        self.assertEqual((parser.result.body, bytes(parser.unparsed)), (b"hello", b"GET"))

    def test_keep_alive_follows_the_rules_of_both_versions(self):
        for line, field, keep in (
            ("1.1", "X: y", True),
            ("1.1", "Connection: Close", False),
            ("1.0", "X: y", False),
            ("1.0", "Connection: keep-alive", True),
        ):
            self.assertEqual(
                parse(f"GET / HTTP/{line}\r\nHost: s\r\n{field}\r\n\r\n".encode()).keep_alive, keep
            )

    def test_names_that_a_peer_lists_are_filtered_without_a_pattern_of_their_own(self):
        before = compile_field_line_pattern.cache_info().currsize
        for number in range(100):
            listed = ", ".join(f"X-{number}-{n}" for n in range(8))
            found = parse(f"GET / HTTP/1.1\r\nHost: s\r\nConnection: {listed}\r\n".encode() + LISTED % number)
            self.assertEqual(found.field_lines_without("connection", "host"), b"X-Kept: 1\r\n")
        self.assertLessEqual(compile_field_line_pattern.cache_info().currsize, before + 1)
        many = ",".join(["x"] * (MAX_CONNECTION_OPTIONS + 1))
        self.assertEqual(
            parse(f"GET / HTTP/1.1\r\nHost: s\r\nConnection: {many}\r\n\r\n".encode()).status, 431
        )

    def test_heads_of_too_many_fields_are_rejected_however_they_arrive(self):
        start, field = b"GET / HTTP/1.1\r\nHost: s\r\n", b"a:\r\n"
        self.assertIsInstance(parse(start + field * (MAX_FIELDS - 1) + b"\r\n"), Message)
        for ending in (b"\r\n", b"a"):  # a whole head, and one that goes on
            data = start + field * MAX_FIELDS + ending
            self.assertEqual(parse(data).status, 431)
            parser = Parser(False)
            for at in range(0, len(data), 7):
                if parser.result is None:
                    parser.feed(data[at : at + 7])
            self.assertEqual(parser.result.status, 431)

    def test_chunks_of_any_size_parse_alike_in_one_piece_and_in_many(self):
        source = random.Random(11)
        for max_body in (100, 64 * 1024):  # streamed, and collected
            for _ in range(50):
                chunks = [source.randbytes(source.choice((1, 2, 9, 16, 255, 256))) for _ in range(20)]
                data = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
                data = (
                    b"GET / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + data
                    + b"0\r\n\r\nGET"
                )
                for step in (len(data), source.randrange(1, 40)):
                    parser, body = Parser(False, max_body=max_body, streaming=True), bytearray()
                    for at in range(0, len(data), step):
                        parser.feed(data[at : at + step])
                        if parser.streamed_head is not None:
                            body += parser.take_body()
                    body += parser.result.body
                    self.assertEqual((bytes(body), bytes(parser.unparsed)), (b"".join(chunks), b"GET"))

    def test_a_response_without_a_length_ends_with_its_connection_and_is_not_delimited(self):
        found = parse(b"HTTP/1.1 200 OK\r\n\r\npart", True, end=True)
        self.assertEqual((found.body, found.delimited, found.keep_alive), (b"part", False, False))
        self.assertIsNone(parse(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", True, end=True))
        self.assertIsNone(parse(CHUNKED[:-2], True, end=True))


class Application(unittest.TestCase):
    PROFILES = {"parcel-view": 0, "survey-submit": 1}

    def test_a_transaction_is_read_from_header_path_and_cookie(self):
        found = application.parse_transaction(parse(POST), self.PROFILES)
        self.assertEqual((found.id, found.profile, found.key, found.timeout), ("7", 1, "ab", 0.48))
        for text in (b"2", b"2.", b".3", b"0.30000000000000004"):
            found = application.parse_transaction(parse(POST.replace(b"0.480", text)), self.PROFILES)
            self.assertEqual(found.timeout, float(text))

    def test_unusable_requests_are_rejected(self):
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
            found = application.parse_transaction(parse(POST.replace(old, new)), self.PROFILES)
            self.assertEqual(getattr(found, "status", None), status, new)

    def test_an_attempt_has_method_path_body_and_id_unchanged_and_its_own_time_limit(self):
        sent = parse(b"".join(hosts.attempt_request(parse(POST), 0.3)))
        self.assertEqual((sent.method, sent.target, sent.body), ("POST", "/survey-submit/a?b=1", b"hello"))
        self.assertEqual((sent.field("request-id"), sent.field("request-timeout")), ("7", "0.3000"))
        self.assertEqual((sent.field("x-own"), sent.field("connection")), (None, None))

    def test_a_commit_is_passed_on_unchanged_with_new_framing(self):
        sent = parse(b"".join(application.committed_response(parse(CHUNKED, True), keep_alive=False)), True)
        self.assertEqual((sent.status, sent.body, sent.keep_alive), (200, b"host!", False))

    def test_only_a_rollback_response_invites_a_retry(self):
        response = parse(application.rollback_response(0.25, True), True)
        self.assertEqual((response.status, response.field("retry-after")), (503, "0.250"))
        for timed_out in (False, True):
            self.assertNotIn(
                parse(application.abandoned_response(timed_out, True), True).status, (200, 429, 503)
            )


class Outcomes(unittest.TestCase):
    def test_only_a_response_marked_not_started_proves_that_nothing_ran(self):
        for found, outcome in (
            (response_of(503, "Not-Started: 1"), interface.REFUSED),
            (response_of(504, "Not-Started: 1"), interface.REFUSED),
            (response_of(503), interface.ERROR),
            (response_of(500, "Not-Started: 1"), interface.ERROR),
            (response_of(200), interface.COMMITTED),
            (response_of(204), interface.ERROR),
            (response_of(404), interface.DECLINED),
            (response_of(400), interface.DECLINED),
            (response_of(429), interface.ERROR),
            (response_of(302), interface.ERROR),
            (response_of(999), interface.ERROR),
        ):
            self.assertEqual(hosts.classify_response(found, True), outcome, found)

    def test_a_response_before_the_whole_request_is_no_commit_and_an_orderly_close_ends_a_body(self):
        ended = parse(b"HTTP/1.1 200 OK\r\n\r\nall", True, end=True)
        self.assertEqual((ended.body, hosts.classify_response(ended, True)), (b"all", interface.COMMITTED))
        self.assertEqual(hosts.classify_response(response_of(200), False), interface.ERROR)


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
        return catalogue.decode_host_list(orjson.dumps({"version": 4, "full": False, "servers": [entry]}))

    def test_a_record(self):
        (record,) = self.read().records
        self.assertEqual(
            record, ("s-1", ("127.0.0.9", 8443), "a", 3, True, False, 1.5, 12_000_000, "m", False)
        )
        (record,) = self.read(cell=None, weight=None, started_ms=None).records
        self.assertEqual(record[3:], (0, True, False, 1.0, 0, "m", False))
        self.assertEqual(
            [self.read(state=s).records[0][4:6] for s in ("draining", "removed")],
            [(False, False), (False, True)],
        )

    def test_a_malformed_list_is_rejected(self):
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
            self.assertIsNone(catalogue.decode_host_list(body), body)


class PeerMessages(unittest.TestCase):
    def test_messages_round_trip_and_malformed_ones_are_ignored(self):
        for kind in (interface.FAULT_SEEN, interface.FAULT_CONFIRMED):
            self.assertEqual(
                peer_messages.decode_hex(peer_messages.encode(kind, 2**48 - 1).hex()), (kind, 2**48 - 1)
            )
        for digits in (None, "", "0", "zz", "01", "00" * 7, "03" + "31" * 6, "01" * 8, "01" * 300):
            self.assertIsNone(peer_messages.decode_hex(digits))

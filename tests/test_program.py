"""The program as a separate process: started, called over loopback, ended."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import tomllib
import unittest
from contextlib import suppress
from pathlib import Path

from tests.fake import OK, SILENT, Caller, SocketDiscovery, SocketHost, start_up

ROOT = Path(__file__).parent.parent


async def start(*args, **environ):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "basalthook",
        *args,
        env={**os.environ, **environ},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


class Program(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.host, self.discovery = await SocketHost().start(), await SocketDiscovery().start()
        self.addAsyncCleanup(self.host.stop)
        self.addAsyncCleanup(self.discovery.stop)
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, "start.json")
        self.listen = "127.0.0.1:0"

    async def serve(self):
        with open(self.path, "w") as file:
            json.dump(start_up([self.host], self.discovery, self.listen), file)
        process = await start("serve", RELAY_CONFIG=self.path)
        self.addAsyncCleanup(self.kill, process)
        line = await self.line(process, "ready")
        self.listen = ":".join(map(str, line["listen"]))
        caller = await Caller().connect(line["listen"])
        self.addAsyncCleanup(caller.stop)
        return process, caller

    async def kill(self, process):
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def line(self, process, event):
        while line := await asyncio.wait_for(process.stdout.readline(), 30):
            if json.loads(line)["event"] == event:
                return json.loads(line)
        self.fail((await process.stderr.read()).decode())

    async def test_it_serves_and_can_restart_on_its_address_right_after_a_kill(self):
        for _ in range(2):
            process, caller = await self.serve()
            self.assertEqual(await caller.status(profile="submit", body=b"b"), 200)
            await self.kill(process)

    async def test_at_sigterm_it_finishes_open_requests_and_exits_with_zero(self):
        self.host.replies = [SILENT]
        process, caller = await self.serve()
        caller.send_request("submit")
        await self.host.received.get()
        process.terminate()
        await self.line(process, "ending")
        process.send_signal(signal.SIGTERM)  # a second signal has no effect
        self.host.writers[0].write(OK)
        self.assertEqual((await caller.read_response())[0], 200)
        self.assertEqual((await self.line(process, "ended"))["unanswered"], 0)
        self.assertEqual(await process.wait(), 0)

    async def test_serve_loads_neither_tls_nor_what_only_other_commands_use(self):
        process, caller = await self.serve()
        self.assertEqual(await caller.status(), 200)
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        self.assertNotIn("libssl", maps)
        self.assertNotIn("libcrypto", maps)
        script = (
            "import sys; sys.argv[1:] = ['serve', '--help']; import runpy\n"
            "try: runpy.run_module('basalthook', run_name='__main__')\n"
            "except SystemExit: print(sorted({'ssl', 'email', 'http.client', 'tempfile'} & set(sys.modules)))"
        )
        checked = await asyncio.create_subprocess_exec(
            sys.executable, "-c", script, stdout=asyncio.subprocess.PIPE, cwd=ROOT
        )
        self.assertEqual((await checked.stdout.read()).decode().splitlines()[-1], "[]")
        await checked.wait()

    async def test_at_sigterm_a_long_answer_that_its_host_writes_slowly_is_not_cut_off(self):
        self.host.replies = [SILENT]
        process, caller = await self.serve()
        piece, pieces = b"x" * 5_000, 20
        for framing in (b"Content-Length: %d" % (len(piece) * pieces), b"Transfer-Encoding: chunked"):
            if b"chunked" in framing:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            caller = await Caller().connect(caller.writer.get_extra_info("peername"))
            self.addAsyncCleanup(caller.stop)
            caller.send_request("submit")
            await self.host.received.get()
            self.host.writers[-1].write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
            self.tasks = [*getattr(self, "tasks", []), asyncio.create_task(self.write_slowly(piece, pieces))]
            self.readers = [*getattr(self, "readers", []), asyncio.create_task(caller.reader.read())]
        await asyncio.sleep(0.3)
        process.terminate()
        for reader in self.readers:
            self.assertEqual((await reader).count(b"x" * 5_000), 20)
        self.assertEqual(await asyncio.wait_for(process.wait(), 5), 0)

    async def write_slowly(self, piece, pieces):
        """Write over longer than the process would wait at its end for answers that have not begun."""
        writer = self.host.writers[-1]
        for _ in range(pieces):
            await asyncio.sleep(0.2)
            writer.write(piece)
        writer.write(b"0\r\n\r\n" if piece.endswith(b"\r\n") else b"")

    async def test_signals_up_to_the_end_do_not_change_the_exit_code(self):
        process, _ = await self.serve()
        process.terminate()
        for number in (signal.SIGHUP, signal.SIGTERM) * 300:
            if process.returncode is not None:
                break
            with suppress(ProcessLookupError):
                os.kill(process.pid, number)  # send_signal may take the child watcher's exit code
            await asyncio.sleep(0.003)
        self.assertEqual(await asyncio.wait_for(process.wait(), 5), 0)

    async def test_a_new_file_is_applied_at_sighup_and_a_bad_one_is_not(self):
        moved = await SocketDiscovery().start()
        self.addAsyncCleanup(moved.stop)
        process, caller = await self.serve()
        self.assertIn("index=1", await self.discovery.received.get())
        with open(self.path) as file:
            document = json.load(file)
        for text, event in (
            ("{", "file refused"),
            ('{"name": "n1"}', "file refused"),
            (json.dumps({**document, "discovery": moved.address, "listen": "127.0.0.1:9"}), "file taken"),
            (json.dumps({**document, "discovery": moved.address}), "file taken"),
        ):
            with open(self.path, "w") as file:
                file.write(text)
            process.send_signal(signal.SIGHUP)
            line = await self.line(process, event)
            self.assertEqual(line.get("needs_restart", []), ["listen"] if '"127.0.0.1:9"' in text else [])
            self.assertEqual(await caller.status(profile="submit"), 200)
        self.assertEqual(await moved.received.get(), "/catalog/members")  # the whole list, then a watch
        moved.publish(1, self.host.line("s-new"), full=True)
        self.assertIn("index=1&", await moved.received.get())
        self.assertEqual(await caller.status(), 200)

    async def test_a_file_that_is_complete_shortly_after_sighup_is_applied(self):
        process, _ = await self.serve()
        with open(self.path) as file:
            document = file.read()
        for incomplete in ("", document[: len(document) // 2]):
            with open(self.path, "w") as file:
                file.write(incomplete)
            process.send_signal(signal.SIGHUP)
            await self.line(process, "file refused")
            with open(self.path, "w") as file:
                file.write(document)
            await asyncio.wait_for(self.line(process, "file taken"), 2)

    async def test_a_sighup_at_any_moment_of_the_start_is_survived_and_its_file_applied(self):
        moved = await SocketDiscovery().start()
        self.addAsyncCleanup(moved.stop)
        document = start_up([self.host], self.discovery, self.listen)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        run = run.replace(".venv/bin/python", sys.executable)
        for hundredths in range(1, 7):
            with open(self.path, "w") as file:
                json.dump(document, file)
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env={**os.environ, "RELAY_CONFIG": self.path},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            self.addAsyncCleanup(self.kill, process)
            await asyncio.sleep(0.05)  # until the shell has started
            for n in range(8):
                await asyncio.sleep(hundredths / 100)
                if n == 4:
                    with open(self.path + ".new", "w") as file:
                        json.dump({**document, "discovery": moved.address}, file)
                    os.replace(self.path + ".new", self.path)
                process.send_signal(signal.SIGHUP)
            await self.line(process, "ready")
            await asyncio.wait_for(moved.received.get(), 10)
            await self.kill(process)

    async def send_requests(self, process, answers):
        """Like an application at a planned restart: reconnects whenever it is disconnected, for 0.4 s."""
        caller, clock = await Caller().connect(self.listen.split(":")), asyncio.get_running_loop().time
        keep_sending = True
        while keep_sending:
            try:
                caller.send_request("submit")
                status, _, head = await caller.read_response()
            except (OSError, asyncio.IncompleteReadError):  # closed between two requests; retried
                status, head = None, "Connection: close"
            answers.append(status)
            if self.terminated_at is None and len(answers) > 20:
                process.terminate()
                self.terminated_at = clock()
            if "Connection: close" in head:
                await caller.stop()
                keep_sending = self.terminated_at is not None and clock() < self.terminated_at + 0.4
                if keep_sending or status is None:
                    caller = await Caller().connect(self.listen.split(":"))
                keep_sending = keep_sending or status is None

    async def test_a_planned_restart_loses_none_of_the_requests_that_keep_coming(self):
        process, _ = await self.serve()
        answers, self.terminated_at = [[] for _ in range(4)], None
        await asyncio.gather(*(self.send_requests(process, each) for each in answers))
        for each in answers:
            self.assertEqual({status for status in each if status is not None}, {200})
            self.assertTrue(all(a or b for a, b in zip(each, each[1:], strict=False)))  # never two in a row
            self.assertEqual(each[-1], 200)
        self.assertEqual((await self.line(process, "ended"))["unanswered"], 0)
        self.assertEqual(await process.wait(), 0)

    async def test_a_request_received_during_shutdown_is_answered_before_the_earliest_kill(self):
        self.host.replies = [SILENT]
        process, caller = await self.serve()
        clock = asyncio.get_running_loop().time
        caller.writer.write(b"POST /submit HTTP/1.1\r\nHost: s\r\nRequest-Id: 1\r\nRequest-Timeout: 2.0\r\n")
        process.terminate()
        terminated_at = clock()
        await asyncio.sleep(1.5)
        caller.writer.write(b"Content-Length: 0\r\n\r\n")
        self.assertIn((await caller.read_response())[0], (502, 503, 504))
        self.assertLess(clock() - terminated_at, 2.0 + 0.7)  # the longest deadline and 0.7 s
        self.assertEqual(await process.wait(), 0)

    async def test_bodies_held_for_a_silent_host_stay_within_the_memory_limit(self):
        self.host.replies = [SILENT]
        process, first = await self.serve()
        callers = [first] + [await Caller().connect(self.listen.split(":")) for _ in range(150)]
        for n, caller in enumerate(callers):
            caller.send_request("submit", timeout="1.0", body=b"b" * 65536, key=f"k{n}")
        for caller in callers:
            self.assertIn((await caller.read_response())[0], (503, 504))
            await caller.stop()
        with open(f"/proc/{process.pid}/status") as status:
            peak = next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))
        self.assertLess(peak, 96 * 1024)

    async def test_health_tells_whether_a_proxy_is_ready(self):
        process, _ = await self.serve()
        for running in (True, False):
            check = await start("health", self.listen)
            await check.communicate()
            self.assertEqual(check.returncode, 0 if running else 1)
            await self.kill(process)

    async def test_check_reads_the_start_up_file_without_starting(self):
        with open(self.path, "w") as file:
            json.dump(start_up([self.host], self.discovery, "127.0.0.1:7"), file)
        out, _ = await (await start("check", "--file", self.path)).communicate()
        self.assertIn(b"listens on 127.0.0.1:7", out)
        self.assertIn(b"1 hosts known", out)

    async def test_a_failed_start_prints_one_line_and_exits_with_nonzero(self):
        document = start_up([self.host], self.discovery)
        for text in (
            "{",
            "[]",
            "{}",
            json.dumps({**document, "listen": "here"}),
            json.dumps({**document, "listen": self.host.address}),  # in use
            json.dumps({**document, "settings": {}}),
            json.dumps({**document, "known": {"servers": 1}}),
        ):
            with open(self.path, "w") as file:
                file.write(text)
            process = await start("serve", "--file", self.path)
            out, err = await process.communicate()
            self.assertNotEqual(process.returncode, 0, text)
            self.assertEqual((out, err.count(b"\n")), (b"", 1), err)
            self.assertIn(b"basalthook: ", err)

    async def test_version_prints_the_version(self):
        out, _ = await (await start("version")).communicate()
        self.assertRegex(out, rb"^basalthook \d+\.\d+\.\d+\n$")

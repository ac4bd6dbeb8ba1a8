"""The files under `policy` in deploy/balancer.toml contain every decision, and are short modules."""

import ast
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
DECIDE = "basalthook/policy/decide.py"
LISTED = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
EFFECTS = {
    "SendAttempt",
    "RollBack",
    "Abandon",
    "CancelAttempt",
    "RequestHostList",
    "SendPeerReport",
    "SetTimer",
}


def imported(path):
    """Modules of the package that this one imports, directly or not, and itself."""
    found, to_read = set(), [path]
    while to_read:
        if (path := to_read.pop()) in found:
            continue
        found.add(path)
        for node in ast.walk(ast.parse((ROOT / path).read_text())):
            if isinstance(node, ast.ImportFrom) and node.level == 1:
                names = [node.module] if node.module else [alias.name for alias in node.names]
                to_read += [f"basalthook/policy/{name}.py" for name in names]
    return found


def numeric(node):
    parts = node.elts if isinstance(node, ast.Tuple) else [node]
    return all(isinstance(part, ast.Constant) and isinstance(part.value, int | float) for part in parts)


def decides(source):
    """Parts of the source that decide: module constants bound to numbers, and rules. A rule is code that
    makes an effect or reads the operator's settings."""
    tree = ast.parse(source)
    for node in tree.body:
        if isinstance(node, ast.Assign) and numeric(node.value):
            yield f"constant {ast.unparse(node.targets[0])}"
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr in EFFECTS:
            yield f"effect {node.func.attr}"
        elif isinstance(node, ast.Attribute) and node.attr in ("settings", "policy_settings"):
            yield f"rule {ast.unparse(node)}"


class DecisionModules(unittest.TestCase):
    def test_other_modules_do_not_decide(self):
        for path in imported(DECIDE) - set(LISTED):
            self.assertEqual(list(decides((ROOT / path).read_text())), [], path)

    def test_listed_modules_decide_and_are_used(self):
        self.assertLessEqual(set(LISTED), imported(DECIDE))
        for path in LISTED:
            self.assertTrue(list(decides((ROOT / path).read_text())), path)

    def test_constants_and_rules_are_found(self):
        for source in (
            "LIMIT = 3",
            "A, B = 1, 2.5",
            "def f(p):\n return p.settings.overload_time",
            "def f(s):\n s.effects.append(i.SetTimer(1, 1))",
        ):
            self.assertTrue(list(decides(source)), source)
        self.assertFalse(list(decides('KIND = "zone"\ndef count(self, now): return len(self.times)')))

    def test_listed_modules_and_their_functions_and_lines_are_short(self):
        for path in LISTED:
            source = (ROOT / path).read_text()
            self.assertLessEqual(len(source.splitlines()), 350, path)
            self.assertLessEqual(max(map(len, source.splitlines())), 110, path)
            for node in ast.walk(ast.parse(source)):
                if isinstance(node, ast.FunctionDef):
                    self.assertLessEqual(node.end_lineno - node.lineno + 1, 35, f"{path}: {node.name}")


if __name__ == "__main__":
    unittest.main()

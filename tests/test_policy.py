"""The files under `policy` in deploy/balancer.toml name all that decides, in short modules."""

import ast
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
DECIDE = "basalthook/policy/decide.py"
NAMED = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
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
    """Modules of the package that this one imports, itself and theirs included."""
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
    """What in it decides. A decision constant is a module's name in capitals bound to numbers; a rule is
    code that makes an effect, or that looks at what the operator agreed to."""
    tree = ast.parse(source)
    for node in tree.body:
        if isinstance(node, ast.Assign) and numeric(node.value):
            yield f"constant {ast.unparse(node.targets[0])}"
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr in EFFECTS:
            yield f"effect {node.func.attr}"
        elif isinstance(node, ast.Attribute) and node.attr in ("settings", "policy_settings"):
            yield f"rule {ast.unparse(node)}"


class Named(unittest.TestCase):
    def test_what_is_not_named_counts_hashes_or_holds_fields(self):
        for path in imported(DECIDE) - set(NAMED):
            self.assertEqual(list(decides((ROOT / path).read_text())), [], path)

    def test_what_is_named_decides_and_is_used(self):
        self.assertLessEqual(set(NAMED), imported(DECIDE))
        for path in NAMED:
            self.assertTrue(list(decides((ROOT / path).read_text())), path)

    def test_a_constant_or_a_rule_elsewhere_is_found(self):
        for source in (
            "LIMIT = 3",
            "A, B = 1, 2.5",
            "def f(p):\n return p.settings.overload_time",
            "def f(s):\n s.effects.append(i.SetTimer(1, 1))",
        ):
            self.assertTrue(list(decides(source)), source)
        self.assertFalse(list(decides('KIND = "zone"\ndef count(self, now): return len(self.times)')))

    def test_modules_functions_and_lines_that_decide_are_short(self):
        for path in NAMED:
            source = (ROOT / path).read_text()
            self.assertLessEqual(len(source.splitlines()), 350, path)
            self.assertLessEqual(max(map(len, source.splitlines())), 110, path)
            for node in ast.walk(ast.parse(source)):
                if isinstance(node, ast.FunctionDef):
                    self.assertLessEqual(node.end_lineno - node.lineno + 1, 35, f"{path}: {node.name}")


if __name__ == "__main__":
    unittest.main()

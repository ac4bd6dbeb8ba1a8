"""Leaves out modules that libraries import and a plain `serve` never uses: OpenSSL and curses.

They would take 5 MiB of resident memory, where a process may have 32 in all. Must run before asyncio and
Tornado are imported; modules that are imported later get the real ones.
"""

import sys
from types import ModuleType

# The libraries do without each of these: curses is for colours of Tornado's log on terminals, and `hashlib`
# has its own blake2b without `_hashlib`.
OPTIONAL_MODULES = ("curses", "_hashlib", "ssl")


def import_network_libraries() -> None:
    """Import asyncio and Tornado's streams without the optional modules; no TLS is possible afterwards."""
    missing = [name for name in OPTIONAL_MODULES if name not in sys.modules]
    if "_hashlib" in missing and not has_builtin_hashes():
        missing.remove("_hashlib")
    for name in missing:
        sys.modules[name] = None  # an import of it raises ImportError
    try:
        import asyncio  # noqa: F401
        import hashlib  # noqa: F401

        if "ssl" in missing:
            sys.modules["ssl"] = tls_names()
        import tornado.iostream  # noqa: F401
    finally:
        for name in missing:
            del sys.modules[name]


def has_builtin_hashes() -> bool:
    """Whether `hashlib` finds all that it always offers without OpenSSL; else it would log errors."""
    try:
        import _blake2  # noqa: F401
        import _md5  # noqa: F401
        import _sha1  # noqa: F401
        import _sha3  # noqa: F401

        if sys.version_info < (3, 12):
            import _sha256  # noqa: F401
            import _sha512  # noqa: F401
        else:
            import _sha2  # noqa: F401
    except ImportError:
        return False
    return True


def tls_names() -> ModuleType:
    """Return the names of `ssl` that Tornado uses in annotations and isinstance checks; nothing is one."""
    module = ModuleType("ssl", "Stands for ssl in a process without TLS.")
    for name, base in (("SSLContext", object), ("SSLSocket", object), ("SSLError", OSError)):
        setattr(module, name, type(name, (base,), {}))
    return module

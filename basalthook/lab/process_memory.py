"""The memory of another process, as the kernel counts it (Linux)."""

from pathlib import Path


def memory_of(process_id: int) -> dict[str, float]:
    """Return the resident memory of a process in MiB, by the names of proc(5); empty if it has ended."""
    try:
        text = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return {}
    lines = (line.split() for line in text.splitlines())
    return {
        words[0].rstrip(":"): int(words[1]) / 1024
        for words in lines
        if words[0] in ("VmRSS:", "VmHWM:", "RssAnon:", "RssFile:")
    }

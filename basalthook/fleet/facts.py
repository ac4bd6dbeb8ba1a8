"""A replicated table of facts, each with one author and an age. No I/O.

It maps (author, life, kind, subject) to a value, a sequence number and an age. Per author, kind and subject
the newest fact of the author's newest life wins, so that reordering, duplication and loss of messages change
nothing: any two members that received the same facts hold the same table. Ages are sent, never clock times: a
holder adds the time for which it held a fact, and a receiver adds the time from its request to the answer. A
fact older than the lifetime of its kind is treated as absent everywhere.

The form is that of Demers et al., "Epidemic algorithms for replicated database maintenance", 1987: rumours
sent for a few rounds, repaired by comparing digests. Lifetimes take the place of its death certificates.
"""

from typing import NamedTuple

import xxhash

# Facts beyond the first bound are dropped, the author's oldest first; authors beyond the second one, those
# without facts first.
MAX_FACTS_PER_AUTHOR, MAX_AUTHORS = 2048, 8192
BASE_ROUNDS = 2  # rounds in which a new fact is sent as a rumour; one more per doubling of the members
MAX_TEXT_LENGTH = 120  # characters


class Fact(NamedTuple):
    author: str
    life: int  # number of the author's process, greater after a restart; facts of earlier ones are void
    kind: str
    subject: str
    sequence: int  # counts all facts of the author
    value: tuple
    age: int  # ticks since the author published it, when read

    @property
    def fact_id(self) -> int:
        """Returns 32 bits that identify this fact at every member."""
        return xxhash.xxh32_intdigest(f"{self.author}\0{self.life}\0{self.sequence}".encode())


class Entry:
    """A fact in the table.

    `rounds_left`: rounds in which it is still sent as a rumour. `parsed`: (published_at, result of a reader).
    """

    __slots__ = ("fact", "fact_id", "published_at", "rounds_left", "parsed")

    def __init__(self, fact: Fact, published_at: int, rounds_left: int) -> None:
        self.fact, self.published_at, self.rounds_left, self.parsed = (
            fact,
            published_at,
            rounds_left,
            (None, None),
        )
        self.fact_id = fact.fact_id


def parse_fact(encoded) -> Fact | None:
    """Decodes a fact unpacked by msgpack; None if it is malformed."""
    if not isinstance(encoded, list | tuple) or len(encoded) != 7:
        return None
    author, life, kind, subject, sequence, value, age = encoded
    texts_valid = all(
        isinstance(text, str) and 0 < len(text) <= MAX_TEXT_LENGTH for text in (author, kind, subject)
    )
    numbers_valid = all(
        isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**62 for n in (life, sequence, age)
    )
    if not texts_valid or not numbers_valid or not isinstance(value, list | tuple):
        return None
    return Fact(author, life, kind, subject, sequence, tuple(value), age)


class FactTable:
    """Holds facts. `lifetimes`: ticks by kind; facts of other kinds are refused. `now` is in ticks."""

    def __init__(self, me: str, life: int, lifetimes: dict[str, int]) -> None:
        self.me, self.life, self.lifetimes, self.sequence = me, life, lifetimes, 0
        self.entries: dict[tuple, Entry] = {}  # by (author, kind, subject); bounded
        self.by_author: dict[str, dict] = {}  # author -> (kind, subject) -> Entry
        self.newest_life: dict[str, int] = {}  # author -> life
        self.by_subject: dict[tuple, dict] = {}  # (kind, subject) -> author -> Entry
        self.by_id: dict[int, Entry] = {}
        self.pending: dict[int, Entry] = {}  # still sent as rumours, by fact id
        self.change_count = 0  # grows with every entry inserted

    def __len__(self) -> int:
        return len(self.entries)

    def publish(self, now: int, kind: str, subject: str, value: tuple, members: int) -> Fact:
        """Adds a fact of this process."""
        self.sequence += 1
        fact = Fact(self.me, self.life, kind, subject, self.sequence, value, 0)
        self.insert(Entry(fact, now, rumour_rounds(members)))
        return fact

    def adopt_life(self, life: int) -> None:
        """Takes a later life, as the membership requires, and publishes this process's facts again."""
        published = [
            entry for entry in self.by_author.get(self.me, {}).values() if entry.fact.life == self.life
        ]
        self.life = life
        for entry in published:
            fact = entry.fact
            self.sequence += 1
            self.insert(
                Entry(
                    fact._replace(life=life, sequence=self.sequence, age=0), entry.published_at, BASE_ROUNDS
                )
            )

    def merge(self, now: int, fact: Fact, members: int = 1) -> bool:
        """Adds a received fact; returns whether it was new. Of two ages of one fact the greater counts."""
        if fact.age > self.lifetimes.get(fact.kind, -1):
            return False
        if fact.author == self.me:
            return False  # own facts are known; those of a previous process are void
        published_at = now - fact.age
        previous = self.by_author.get(fact.author, {}).get((fact.kind, fact.subject))
        if previous is not None and (previous.fact.life, previous.fact.sequence) == (
            fact.life,
            fact.sequence,
        ):
            previous.published_at = min(previous.published_at, published_at)
            return False
        if (
            fact.life < self.newest_life.get(fact.author, 0)
            or previous is not None
            and (previous.fact.life, previous.fact.sequence) > (fact.life, fact.sequence)
        ):
            return False
        self.insert(Entry(fact._replace(age=0), published_at, rumour_rounds(members)))
        return (fact.author, fact.kind, fact.subject) in self.entries

    def void_earlier_lives(self, author: str, life: int) -> None:
        """Drops the author's facts of lives before this one, which has started."""
        if life > self.newest_life.get(author, -1):
            for previous in list(self.by_author.get(author, {}).values()):
                self.remove(previous)
            self.newest_life[author] = life

    def insert(self, entry: Entry) -> None:
        """Replaces the author's previous fact on the subject, and drops what exceeds the bounds."""
        fact = entry.fact
        self.void_earlier_lives(fact.author, fact.life)
        author_entries = self.by_author.setdefault(fact.author, {})
        if (previous := author_entries.get((fact.kind, fact.subject))) is not None:
            self.remove(previous)
            author_entries = self.by_author.setdefault(fact.author, {})
        author_entries[fact.kind, fact.subject] = self.entries[fact.author, fact.kind, fact.subject] = entry
        self.by_subject.setdefault((fact.kind, fact.subject), {})[fact.author] = entry
        self.by_id[entry.fact_id] = self.pending[entry.fact_id] = entry
        self.change_count += 1
        if len(author_entries) > MAX_FACTS_PER_AUTHOR:
            self.remove(min(author_entries.values(), key=lambda e: e.fact.sequence))
        if len(self.newest_life) > MAX_AUTHORS:
            for author in sorted(self.newest_life.keys() - self.by_author.keys() or self.newest_life)[
                : MAX_AUTHORS // 8
            ]:
                for previous in list(self.by_author.get(author, {}).values()):
                    self.remove(previous)
                del self.newest_life[author]

    def remove(self, entry: Entry) -> None:
        fact = entry.fact
        del self.entries[fact.author, fact.kind, fact.subject]
        for index_by_key, key, inner_key in (
            (self.by_author, fact.author, (fact.kind, fact.subject)),
            (self.by_subject, (fact.kind, fact.subject), fact.author),
        ):
            del index_by_key[key][inner_key]
            if not index_by_key[key]:
                del index_by_key[key]
        for entries_by_id in (self.by_id, self.pending):
            if entries_by_id.get(entry.fact_id) is entry:
                del entries_by_id[entry.fact_id]

    def expire(self, now: int) -> None:
        """Removes expired facts. Call from time to time; readers skip them anyway."""
        for entry in [e for e in self.entries.values() if now - e.published_at > self.lifetimes[e.fact.kind]]:
            self.remove(entry)

    def facts_on(self, now: int, kind: str, subject: str) -> list[Fact]:
        """Returns the live facts on a subject with their ages."""
        lifetime = self.lifetimes.get(kind, -1)
        entries = self.by_subject.get((kind, subject), {}).values()
        return [
            e.fact._replace(age=max(0, now - e.published_at))
            for e in entries
            if now - e.published_at <= lifetime
        ]

    def parsed(self, now: int, kind: str, subject: str, reader) -> list:
        """Returns `reader(fact, published_at)` for each live fact on a subject, without None.

        Results are cached, so that the reader runs once per fact and publishing time.
        """
        lifetime, values = self.lifetimes.get(kind, -1), []
        for entry in self.by_subject.get((kind, subject), {}).values():
            if now - entry.published_at <= lifetime:
                if entry.parsed[0] != entry.published_at:
                    entry.parsed = entry.published_at, reader(entry.fact, entry.published_at)
                if entry.parsed[1] is not None:
                    values.append(entry.parsed[1])
        return values

    def subjects(self, kind: str) -> list[str]:
        return [subject for entry_kind, subject in self.by_subject if entry_kind == kind]

    def live_facts(self, now: int) -> list[Fact]:
        return [
            entry.fact._replace(age=max(0, now - entry.published_at))
            for entry in self.entries.values()
            if now - entry.published_at <= self.lifetimes[entry.fact.kind]
        ]

    # ---- dissemination

    def next_rumours(self, limit: int) -> list[int]:
        """Returns ids of the facts to send as rumours now, and uses up one round of each."""
        fact_ids = []
        for fact_id, entry in list(self.pending.items())[:limit]:
            fact_ids.append(fact_id)
            entry.rounds_left -= 1
            del self.pending[fact_id]
            if entry.rounds_left > 0:
                self.pending[fact_id] = entry  # to the end: facts sent less recently come first
        return fact_ids

    def missing(self, fact_ids) -> list[int]:
        return [fact_id for fact_id in fact_ids if fact_id not in self.by_id]

    def facts_for(self, now: int, fact_ids) -> list[Fact]:
        """Returns the live facts with these ids."""
        entries = (self.by_id.get(fact_id) for fact_id in fact_ids)
        return [
            e.fact._replace(age=max(0, now - e.published_at))
            for e in entries
            if e is not None and now - e.published_at <= self.lifetimes[e.fact.kind]
        ]

    def digests(self, now: int, start: int, limit: int) -> tuple[list[tuple[int, int]], int]:
        """Returns up to `limit` pairs (author hash, digest) from `start` on, and the end of that range."""
        hashed_authors = sorted((author_hash(author), author) for author in self.by_author)
        digests_in_range = [(n, self.digest(now, author)) for n, author in hashed_authors if n >= start][
            : limit + 1
        ]
        end = digests_in_range[limit][0] if len(digests_in_range) > limit else 2**32
        return digests_in_range[:limit], end

    def digest(self, now: int, author: str) -> int:
        """Returns the exclusive or of the ids of the author's live facts."""
        digest = 0
        for entry in self.by_author.get(author, {}).values():
            if now - entry.published_at <= self.lifetimes[entry.fact.kind]:
                digest ^= entry.fact_id
        return digest

    def differing_facts(self, now: int, start: int, end: int, digests: dict[int, int]) -> list[Fact]:
        """Returns the facts of authors in this range whose digest differs from, or is not in, `digests`."""
        facts = []
        for author in self.by_author:
            hash_of_author = author_hash(author)
            if start <= hash_of_author < end and digests.get(hash_of_author, 0) != self.digest(now, author):
                facts += [
                    e.fact._replace(age=max(0, now - e.published_at))
                    for e in self.by_author[author].values()
                    if now - e.published_at <= self.lifetimes[e.fact.kind]
                ]
        return facts


def rumour_rounds(members: int) -> int:
    return BASE_ROUNDS + max(1, members).bit_length()


def author_hash(author: str) -> int:
    return xxhash.xxh32_intdigest(author.encode())

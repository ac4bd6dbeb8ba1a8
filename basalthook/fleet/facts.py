"""A replicated table of facts, each with one author and an age; pure.

(author, life, kind, subject) -> value, sequence, age. Per author, kind and subject the newest of the author's
newest life stands, so order, doubling and loss change nothing: any two that heard the same set hold the same
table. Ages travel, never clock times: a holder adds what it held, and whoever takes a fact adds the time its
question and the answer took. A fact older than its kind's life does not exist for anyone.

Source of the form: Demers et al., "Epidemic algorithms for replicated database maintenance", 1987 (rumours
that cool, repaired by comparing digests); dormant death certificates are replaced by the life of a kind.
"""

from typing import NamedTuple

import xxhash

MAX_FACTS_PER_AUTHOR, MAX_AUTHORS = (
    2048,
    8192,
)  # facts, the newest sequences stay; authors, the longest unheard go
CONTACTS = 2  # rounds of telling a fact anew, and one more for each doubling of the members
SUBJECT_MOST = 120  # bytes


class Fact(NamedTuple):
    author: str
    life: int  # of the author's process; a later one voids what the earlier told
    kind: str
    subject: str
    sequence: int  # the author's own count, over all its facts
    value: tuple
    age: int  # ticks since its author told it, at the moment this is read

    @property
    def fact_id(self) -> int:
        """Four bytes that stand for this word of its author, at every member."""
        return xxhash.xxh32_intdigest(f"{self.author}\0{self.life}\0{self.sequence}".encode())


class Entry:
    """`rounds`: in which it is still told anew; `parsed`: what a reader made of it, of which birth."""

    __slots__ = ("fact", "fact_id", "born", "rounds", "parsed")

    def __init__(self, fact: Fact, born: int, rounds: int) -> None:
        self.fact, self.born, self.rounds, self.parsed = fact, born, rounds, (None, None)
        self.fact_id = fact.fact_id


def parse_fact(plain) -> Fact | None:
    """A fact as msgpack has it; None where it is none."""
    if not isinstance(plain, list | tuple) or len(plain) != 7:
        return None
    author, life, kind, subject, sequence, value, age = plain
    words = all(isinstance(word, str) and 0 < len(word) <= SUBJECT_MOST for word in (author, kind, subject))
    numbers = all(
        isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**62 for n in (life, sequence, age)
    )
    if not words or not numbers or not isinstance(value, list | tuple):
        return None
    return Fact(author, life, kind, subject, sequence, tuple(value), age)


class FactTable:
    """`lifetimes`: ticks by kind; a kind not named is not held. `now` is handed to every call, in ticks."""

    def __init__(self, me: str, life: int, lifetimes: dict[str, int]) -> None:
        self.me, self.life, self.lifetimes, self.sequence = me, life, lifetimes, 0
        self.entries: dict[tuple, Entry] = {}  # (author, kind, subject); emptied by age and by the bounds
        self.of: dict[str, dict] = {}  # author -> its part of the same
        self.newest: dict[str, int] = {}  # author -> life
        self.by_subject: dict[tuple, dict] = {}  # (kind, subject) -> author -> Entry
        self.by_id: dict[int, Entry] = {}
        self.hot: dict[int, Entry] = {}  # still to be told; emptied as their rounds run out
        self.changed = 0  # grows with every word taken: whoever derives may wait for it

    def __len__(self) -> int:
        return len(self.entries)

    def publish(self, now: int, kind: str, subject: str, value: tuple, members: int) -> Fact:
        """A word of this process."""
        self.sequence += 1
        fact = Fact(self.me, self.life, kind, subject, self.sequence, value, 0)
        self.insert(Entry(fact, now, rounds(members)))
        return fact

    def adopt_life(self, life: int) -> None:
        """This process has found that it must count as a later one; its words are told anew."""
        told = [held for held in self.of.get(self.me, {}).values() if held.fact.life == self.life]
        self.life = life
        for held in told:
            fact = held.fact
            self.sequence += 1
            self.insert(Entry(fact._replace(life=life, sequence=self.sequence, age=0), held.born, CONTACTS))

    def merge(self, now: int, fact: Fact, members: int = 1) -> bool:
        """Whether it was news. Of the same word the greater age stands, whoever brought it."""
        if fact.age > self.lifetimes.get(fact.kind, -1):
            return False
        if fact.author == self.me:
            return False  # it knows its own; what a process before it has told is void
        born = now - fact.age
        old = self.of.get(fact.author, {}).get((fact.kind, fact.subject))
        if old is not None and (old.fact.life, old.fact.sequence) == (fact.life, fact.sequence):
            old.born = min(old.born, born)
            return False
        if (
            fact.life < self.newest.get(fact.author, 0)
            or old is not None
            and (old.fact.life, old.fact.sequence) > (fact.life, fact.sequence)
        ):
            return False
        self.insert(Entry(fact._replace(age=0), born, rounds(members)))
        return (fact.author, fact.kind, fact.subject) in self.entries

    def void_earlier_lives(self, author: str, life: int) -> None:
        """Its process of this life has begun: what one before it told is void, whoever still holds it."""
        if life > self.newest.get(author, -1):
            for old in list(self.of.get(author, {}).values()):
                self.remove(old)
            self.newest[author] = life

    def insert(self, held: Entry) -> None:
        fact = held.fact
        self.void_earlier_lives(fact.author, fact.life)
        mine = self.of.setdefault(fact.author, {})
        if (old := mine.get((fact.kind, fact.subject))) is not None:
            self.remove(old)
            mine = self.of.setdefault(fact.author, {})
        mine[fact.kind, fact.subject] = self.entries[fact.author, fact.kind, fact.subject] = held
        self.by_subject.setdefault((fact.kind, fact.subject), {})[fact.author] = held
        self.by_id[held.fact_id] = self.hot[held.fact_id] = held
        self.changed += 1
        if len(mine) > MAX_FACTS_PER_AUTHOR:
            self.remove(min(mine.values(), key=lambda h: h.fact.sequence))
        if len(self.newest) > MAX_AUTHORS:
            for author in sorted(self.newest.keys() - self.of.keys() or self.newest)[: MAX_AUTHORS // 8]:
                for old in list(self.of.get(author, {}).values()):
                    self.remove(old)
                del self.newest[author]

    def remove(self, held: Entry) -> None:
        fact = held.fact
        del self.entries[fact.author, fact.kind, fact.subject]
        for where, key, inner in (
            (self.of, fact.author, (fact.kind, fact.subject)),
            (self.by_subject, (fact.kind, fact.subject), fact.author),
        ):
            del where[key][inner]
            if not where[key]:
                del where[key]
        for index in (self.by_id, self.hot):
            if index.get(held.fact_id) is held:
                del index[held.fact_id]

    def expire(self, now: int) -> None:
        """What is older than its kind's life is gone; called now and then, as no reader sees it."""
        for held in [h for h in self.entries.values() if now - h.born > self.lifetimes[h.fact.kind]]:
            self.remove(held)

    def facts_on(self, now: int, kind: str, subject: str) -> list[Fact]:
        """What is alive on this subject, each with its age."""
        life = self.lifetimes.get(kind, -1)
        held = self.by_subject.get((kind, subject), {}).values()
        return [h.fact._replace(age=max(0, now - h.born)) for h in held if now - h.born <= life]

    def parsed(self, now: int, kind: str, subject: str, reader) -> list:
        """What `reader(fact, its birth)` makes of what is alive on this subject; asked once for each word."""
        life, found = self.lifetimes.get(kind, -1), []
        for held in self.by_subject.get((kind, subject), {}).values():
            if now - held.born <= life:
                if held.parsed[0] != held.born:
                    held.parsed = held.born, reader(held.fact, held.born)
                if held.parsed[1] is not None:
                    found.append(held.parsed[1])
        return found

    def subjects(self, kind: str) -> list[str]:
        return [subject for of, subject in self.by_subject if of == kind]

    def live_facts(self, now: int) -> list[Fact]:
        return [
            h.fact._replace(age=max(0, now - h.born))
            for h in self.entries.values()
            if now - h.born <= self.lifetimes[h.fact.kind]
        ]

    # ---- spreading

    def next_rumours(self, most: int) -> list[int]:
        """Marks of what is to be told in this round; each has one round less after it."""
        told = []
        for fact_id, held in list(self.hot.items())[:most]:
            told.append(fact_id)
            held.rounds -= 1
            del self.hot[fact_id]
            if held.rounds > 0:
                self.hot[fact_id] = held  # to the end of the row: those not told yet come first
        return told

    def missing(self, marks) -> list[int]:
        return [fact_id for fact_id in marks if fact_id not in self.by_id]

    def facts_for(self, now: int, marks) -> list[Fact]:
        """The words that these marks stand for, as far as they are alive here."""
        found = (self.by_id.get(fact_id) for fact_id in marks)
        return [
            h.fact._replace(age=max(0, now - h.born))
            for h in found
            if h is not None and now - h.born <= self.lifetimes[h.fact.kind]
        ]

    def digests(self, now: int, low: int, most: int) -> tuple[list[tuple[int, int]], int]:
        """(author's number, digest of its words) from `low` on, so many at most, and where the range ends."""
        numbered = sorted((number(author), author) for author in self.of)
        told = [(n, self.digest(now, author)) for n, author in numbered if n >= low][: most + 1]
        end = told[most][0] if len(told) > most else 2**32
        return told[:most], end

    def digest(self, now: int, author: str) -> int:
        found = 0
        for held in self.of.get(author, {}).values():
            if now - held.born <= self.lifetimes[held.fact.kind]:
                found ^= held.fact_id
        return found

    def differing_facts(self, now: int, low: int, end: int, digests: dict[int, int]) -> list[Fact]:
        """What we hold of authors in this range whose digest is another there, or who are not known there."""
        found = []
        for author in self.of:
            which = number(author)
            if low <= which < end and digests.get(which, 0) != self.digest(now, author):
                found += [
                    h.fact._replace(age=max(0, now - h.born))
                    for h in self.of[author].values()
                    if now - h.born <= self.lifetimes[h.fact.kind]
                ]
        return found


def rounds(members: int) -> int:
    return CONTACTS + max(1, members).bit_length()


def number(author: str) -> int:
    return xxhash.xxh32_intdigest(author.encode())

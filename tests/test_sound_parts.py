"""Tests of which parts of a long prompt are suspected."""

from nutmegscale import sound_parts


def test_parts_that_never_ran_come_first() -> None:
    sound = sound_parts.SoundParts()
    sound.record((b"a", b"b"))
    assert sound.least_sound((b"a", b"x", b"b", b"y"), 3) == (b"x", b"y", b"a")


def test_memory_is_bounded() -> None:
    sound = sound_parts.SoundParts(capacity=100)
    for number in range(10_000):
        sound.record((b"%d" % number,))
    parts = (b"9999", b"1")
    assert sound.least_sound(parts, 1) == (b"1",)
    assert sound.least_sound((b"9900", b"9899"), 1) == (b"9899",)

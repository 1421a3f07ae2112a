"""Replays each recorded trace and checks its expected outcome."""

import pathlib

import pytest

from tools import make_traces
from tools import replay_virtual
from tools import trace

FOLDER = pathlib.Path(make_traces.FOLDER)
TRACE_NAMES = sorted(path.stem for path in FOLDER.glob("*.jsonl"))


@pytest.mark.parametrize("name", TRACE_NAMES)
def test_trace_meets_its_outcome(name: str) -> None:
    recorded = trace.read(str(FOLDER / f"{name}.jsonl"))
    assert replay_virtual.replay(recorded).violations == []


def test_committed_traces_are_those_of_their_seeds(
    tmp_path: pathlib.Path,
) -> None:
    generated = make_traces.make_all()
    assert sorted(t.header.trace for t in generated) == TRACE_NAMES
    for item in generated:
        path = tmp_path / f"{item.header.trace}.jsonl"
        trace.write(str(path), item)
        committed = FOLDER / path.name
        assert path.read_bytes() == committed.read_bytes()


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{", "x.jsonl:2: "),
        ("[1]", "x.jsonl:2: isn't an object"),
        ('{"at": 1, "fault": "explode"}', "Invalid enum value 'explode'"),
        ('{"at": 1, "what": 2}', "unexpected keyword argument 'what'"),
    ],
)
def test_a_malformed_line_is_named(
    tmp_path: pathlib.Path, line: str, message: str
) -> None:
    path = tmp_path / "x.jsonl"
    first = (FOLDER / "poison.jsonl").read_text().splitlines()[0]
    path.write_text(f"{first}\n{line}\n")
    with pytest.raises(trace.TraceError) as caught:
        trace.read(str(path))
    assert message in str(caught.value)

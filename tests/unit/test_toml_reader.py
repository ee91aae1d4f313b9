"""Configuration files: errors name file, line and key. Also log records and instance specifications."""

from __future__ import annotations

import logging
import os
from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from rig import SETTINGS

from cometusher import logs
from cometusher.config import ConfigError
from cometusher.fleet.spec import read_location, read_spec, write_private
from cometusher.toml_reader import read_file

HEADER = '[fleet]\nstate = "s"\n[common]\nconfig = "proxy.json"\ndiscovery = "127.0.0.1:9"\n'
INSTANCE = '[[instance]]\nname = "a"\nlisten = "127.0.0.1:9000"\n'


def spec_file(folder: Path, text: str) -> Path:
    (folder / "proxy.json").write_bytes(orjson.dumps({"settings": SETTINGS}))
    (folder / "odd.json").write_bytes(b"[1]")
    path = folder / "fleet.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (HEADER + INSTANCE + "[[instance\n", ":9: not TOML"),
        (INSTANCE, "fleet.state: missing"),
        ('[fleet]\nstate = ""\n' + INSTANCE, ":2: fleet.state: '' is not a text"),
        (HEADER, "instance: there is none"),
        (HEADER + INSTANCE + "memory_mb = 1\n", ":9: instance[0].memory_mb: 1 is not a whole number from 32"),
        (HEADER + INSTANCE + "sockets = true\n", ":9: instance[0].sockets: True"),
        (HEADER + INSTANCE + 'config = "none.json"\n', ":9: instance[0].config"),
        (HEADER + INSTANCE + 'config = "odd.json"\n', "odd.json: not an object"),
        (HEADER + INSTANCE + 'zone = "nowhere"\n', "instance[0].config"),
        (HEADER + INSTANCE + "tier = 7\n", "proxy.json: settings: tier"),
        (HEADER + INSTANCE + 'command = "x"\n', ":9: instance[0].command: 'x' is not a list of texts"),
        (HEADER + INSTANCE.replace(":9000", ":0"), ":8: instance[0].listen"),
        (HEADER + INSTANCE.replace("127.0.0.1:9000", "localhost:9000"), ":8: instance[0].listen: not an IP address"),
        (HEADER + INSTANCE.replace('"a"', '"../a"'), ":7: instance[0].name"),
        (HEADER + INSTANCE + INSTANCE, ":10: instance[1].name: 'a' is there twice"),
        (HEADER + INSTANCE + INSTANCE.replace('"a"', '"b"'), ":11: instance[1].listen: 127.0.0.1:9000 is also 'a''s"),
        (HEADER + '[[range]]\nname = "r"\nports = "1-2"\n', ":7: range[0].name"),
        (HEADER + '[[range]]\nname = "r{}"\nports = "9-2"\n', ":8: range[0].ports"),
        (HEADER + INSTANCE + "[policy]\njitter = 2.0\n", ":10: policy.jitter: must be below 1"),
        (
            HEADER + INSTANCE + "[policy]\nbackof_to = 2.0\n",
            ":10: policy.backof_to: unknown; did you mean backoff_to?",
        ),
        (HEADER + INSTANCE + "[vigil]\nshare = 1.5\n", ":10: vigil.share: 1.5 is above 1"),
        (HEADER + INSTANCE + "[vigil]\ncertain = 2.0\n", ":10: vigil.certain: below suspect"),
        (HEADER + INSTANCE + "[vigil]\nbeats = 2.0\n", ":10: vigil.beats: unknown; did you mean beat?"),
        (HEADER + INSTANCE + "[log]\nform = 'xml'\n", ":10: log.form: 'xml' is not one of text, json"),
        (HEADER + INSTANCE + "[extra]\n", ":9: extra: unknown"),
        (HEADER.replace('"s"', '"' + "s" * 120 + '"') + INSTANCE, ":2: fleet.state: the path is too long"),
        (HEADER.replace("discovery", "# discovery") + INSTANCE, "discovery: None is not host:port"),
    ],
)
def test_errors_name_file_line_and_key(tmp_path: Path, text: str, expected: str) -> None:
    path = spec_file(tmp_path, text)
    with pytest.raises(ConfigError) as raised:
        read_spec(path)
    assert str(raised.value).startswith(str(path)) and expected in str(raised.value), str(raised.value)
    assert "\n" not in str(raised.value)


def test_ranges_overrides_and_versions(tmp_path: Path) -> None:
    text = (
        HEADER + INSTANCE + 'memory_mb = 64\nzone = "b"\n[[range]]\nname = "r{}-x"\nports = "9100-9102"\ntier = 0\n'
    )
    spec = read_spec(spec_file(tmp_path, text))
    assert list(spec.instances) == ["a", "r0-x", "r1-x", "r2-x"]
    a, r = spec.instances["a"], spec.instances["r1-x"]
    assert a.values["settings"]["Zone"] == 1 and a.values["limits"] == {"memory_mb": 64, "sockets": 1024}
    assert r.listen == ("127.0.0.1", 9101) and r.values["settings"]["Tier"] == 0
    assert a.version == read_spec(tmp_path / "fleet.toml").instances["a"].version != r.version
    larger_limit = read_spec(spec_file(tmp_path, text.replace("memory_mb = 64", "memory_mb = 65"))).instances["a"]
    replaced = read_spec(spec_file(tmp_path, text.replace('"b"', '"a"'))).instances["a"]
    assert not a.needs_restart(larger_limit) and a.needs_restart(replaced)


def test_location_is_readable_from_a_file_with_errors(tmp_path: Path) -> None:
    path = spec_file(tmp_path, '[fleet]\nstate = "s"\n[common]\nnonsense = 1\n')
    assert read_location(path).control_socket == tmp_path / "s" / "control.sock"


@pytest.mark.parametrize("content", [b"\xff\xfe", b"a = " + b"9" * 5_000_000, None])
def test_unreadable_files_are_rejected(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "x.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(ConfigError, match=r"x\.toml"):
        read_file(path)


@given(st.text(max_size=200))
def test_arbitrary_text_is_rejected_without_a_crash(text: str) -> None:
    path = Path(os.environ.get("TMPDIR", "/tmp")) / f"tables-{os.getpid()}.toml"
    path.write_text(text, encoding="utf-8", errors="replace")
    try:
        read_spec(path)
    except ConfigError:
        pass
    else:
        raise AssertionError("the text was accepted as a fleet file")
    finally:
        path.unlink()


@given(st.text(max_size=3000), st.integers(0, 40))
def test_log_record_is_one_line_and_fits_a_pipe(text: str, repeat: int) -> None:
    record = logging.LogRecord("cometusher.proxy", logging.INFO, "f", 1, "%s", (text * repeat,), None)
    values = logs.record_fields(record, "a")
    line = logs.to_json(values)
    assert len(line) < logs.MAX_RECORD and b"\n" not in line
    assert orjson.loads(line)["instance"] == "a"
    assert b"\n" not in logs.to_text(values) and b"\r" not in logs.to_text(values)


def test_full_pipe_drops_records_and_reports_the_count() -> None:
    reader, writer = os.pipe()
    handler = logs.PipeHandler(writer, "a")
    record = logging.LogRecord("cometusher.proxy", logging.INFO, "f", 1, "x" * 1000, (), None)
    for _ in range(200):
        handler.emit(record)
    assert handler.dropped > 50
    dropped = handler.dropped
    while len(os.read(reader, 65536)) == 65536:
        pass
    handler.emit(record)
    assert orjson.loads(os.read(reader, 65536).splitlines()[-1])["dropped"] == dropped and handler.dropped == 0
    os.close(reader)
    os.close(writer)


def test_private_file_is_replaced_atomically(tmp_path: Path) -> None:
    path = tmp_path / "f"
    write_private(path, b"one")
    write_private(path, b"two")
    assert path.read_bytes() == b"two" and path.stat().st_mode & 0o777 == 0o600
    assert list(tmp_path.iterdir()) == [path]

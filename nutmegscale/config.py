"""Configuration document, its validation and its look-ups."""

import hashlib
from typing import Any
from typing import Literal
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict
from typing import get_type_hints

import msgspec

from nutmegscale import decoding
from nutmegscale import errors

ANY_CALLER = "*"
DEFAULT_FIRST_TOKEN_S = 0.54
DEFAULT_TOKEN_GAP_S = 0.031
DEFAULT_MAX_PROMPT_TOKENS = 65_536
DEFAULT_MAX_OUTPUT_TOKENS = 4_096
DEFAULT_PLAIN_TIMEOUT_S = 10.0
DEFAULT_PRIORITY = 5
Policy = Literal["joint", "round_robin", "least_loaded", "prefix_affinity"]


class Objective(TypedDict):
    """Weights of the objectives of a deployment.

    Attributes:
      goodput_weight: Weight of answers within both latency targets.
      waste_weight: Weight of prefill work whose result no decode run uses.
    """

    goodput_weight: float
    waste_weight: float


class Service(TypedDict):
    """A service that callers address by name.

    Attributes:
      kind: "model" for prefill and decode pools, "plain" for HTTP services.
      policy: Placement policy of a model service.
      first_token_s: Target for the time to the first token, seconds.
      token_gap_s: Target for the time between tokens, seconds.
      max_prompt_tokens: Longest prompt, in tokens.
      max_output_tokens: Longest answer, in tokens.
      non_idempotent: HTTP methods of a plain service whose calls run at most
        once.
      timeout_s: Time limit of each try of a call to a plain service, seconds.
    """

    kind: Literal["model", "plain"]
    policy: NotRequired[Policy]
    first_token_s: NotRequired[float]
    token_gap_s: NotRequired[float]
    max_prompt_tokens: NotRequired[int]
    max_output_tokens: NotRequired[int]
    non_idempotent: NotRequired[list[str]]
    timeout_s: NotRequired[float]


class Engine(TypedDict):
    """Cost profile of an engine type; times in seconds, sizes in bytes.

    Attributes:
      prefill_base_s: Fixed time of a prefill.
      prefill_token_s: Time of a prefill per token that isn't cached.
      step_base_s: Fixed time of a decode step.
      step_run_s: Time of a decode step per run of the batch.
      kv_token_bytes: Size of the KV data of a token.
      link_bytes_s: Speed of KV transfers, bytes per second.
      kv_ttl_s: Time for which a prefill result is kept.
      slots: Largest number of concurrent decode runs.
    """

    prefill_base_s: float
    prefill_token_s: float
    step_base_s: float
    step_run_s: float
    kv_token_bytes: int
    link_bytes_s: float
    kv_ttl_s: float
    slots: int


class Pool(TypedDict):
    """A set of backend servers with one role in one service."""

    service: str
    role: Literal["prefill", "decode", "plain"]
    engine: NotRequired[str]


class Caller(TypedDict):
    """A caller; `key_sha256` is the hex digest of its key."""

    key_sha256: str
    weight: NotRequired[float]


class WorkerState(TypedDict):
    """Target state of one model engine, as set by the operators."""

    leaving: bool


class Rule(TypedDict):
    """Access of a caller to a service.

    The first matching rule in the byte order of their names applies.
    """

    caller: str
    service: str
    priority: NotRequired[int]
    allow: NotRequired[bool]


class Document(TypedDict):
    """The complete merged configuration."""

    objective: Objective
    services: dict[str, Service]
    engines: NotRequired[dict[str, Engine]]
    pools: dict[str, Pool]
    callers: dict[str, Caller]
    rules: dict[str, Rule]
    workers: NotRequired[dict[str, WorkerState]]


class Route(NamedTuple):
    """Result of the rules for a permitted request."""

    caller: str
    service: str
    priority: int


class Config:
    """A valid configuration.

    Attributes:
      document: The checked document.
      revision: Its revision.
      digest: Digest of its canonical encoding.
    """

    def __init__(self, document: Document, revision: int, digest: str) -> None:
        self.document = document
        self.revision = revision
        self.digest = digest
        self._by_key = {
            caller["key_sha256"]: name
            for name, caller in document["callers"].items()
        }
        self._rules = sorted(
            document["rules"].items(), key=lambda item: item[0].encode()
        )

    def caller_of(self, key: str) -> str | None:
        """Return the name of the caller with this key, or None."""
        return self._by_key.get(hashlib.sha256(key.encode()).hexdigest())

    def weight_of(self, caller: str) -> float:
        """Return the share weight of a caller."""
        known = self.document["callers"].get(caller)
        return known.get("weight", 1.0) if known else 1.0

    def route(self, caller: str, service: str) -> Route | None:
        """Apply the first matching rule; None if it denies or none matches."""
        for _, rule in self._rules:
            if rule["caller"] not in (ANY_CALLER, caller):
                continue
            if rule["service"] != service:
                continue
            if not rule.get("allow", True):
                return None
            return Route(
                caller, service, rule.get("priority", DEFAULT_PRIORITY)
            )
        return None

    def engine_of(self, pool: str) -> Engine | None:
        """Return the cost profile of the engines of a pool, or None."""
        known = self.document["pools"].get(pool)
        if known is None or "engine" not in known:
            return None
        return self.document.get("engines", {}).get(known["engine"])


_decoder: decoding.Decoder[Any] = decoding.Decoder(Any)


def canonical(document: Document) -> bytes:
    """Encode a document so that equal documents have equal bytes."""
    return msgspec.json.encode(document, order="sorted")


def digest_of(content: bytes) -> str:
    """Return the digest that identifies canonical content."""
    return hashlib.blake2b(content, digest_size=20).hexdigest()


def decode(content: bytes, revision: int) -> Config:
    """Decode and check canonical content.

    Raises:
      errors.ConfigError: The content isn't a valid document.
    """
    value = decode_document(content)
    return Config(check(value), revision, digest_of(content))


def decode_document(content: bytes) -> dict[str, Any]:
    """Decode a document or a patch of one, without checking its keys.

    Raises:
      errors.ConfigError: The content isn't a JSON object.
    """
    try:
        value = _decoder.decode(content)
    except errors.MalformedDataError as exc:
        raise errors.ConfigError(f"malformed content: {exc}") from exc
    if not isinstance(value, dict):
        raise errors.ConfigError("the content isn't an object")
    return value


class _CheckError(errors.ConfigError):
    """A failed check with the path of its key."""

    def __init__(self, message: str, path: tuple[str, ...]) -> None:
        self.path = path
        super().__init__(message, key=".".join(path))


def error_path(error: errors.ConfigError) -> tuple[str, ...]:
    """Return the key path of a failed check, or () if it is unknown."""
    return getattr(error, "path", ())


def check(value: Any) -> Document:
    """Check a merged value and return it as a document.

    Raises:
      errors.ConfigError: A key is unknown, missing or of a wrong type, a value
        is out of range, a reference is undefined, or entries don't fit
        together.
    """
    _check_keys(value)
    try:
        document = msgspec.convert(value, Document, strict=True)
    except msgspec.ValidationError as exc:
        message, _, location = str(exc).partition(" - at `")
        path = _msgspec_path(location.rstrip("`"), value)
        raise _CheckError(message, path) from exc
    _check_ranges(document)
    _check_references(document)
    return document


def _msgspec_path(location: str, value: Any) -> tuple[str, ...]:
    """Convert a msgspec path such as `$.callers[...].weight` to a key path.

    The name that msgspec gives as `[...]` is that of the first invalid entry.
    """
    parts = location.replace("[...]", ".*").strip("$.").split(".")
    path = tuple(part for part in parts if part)
    if "*" not in path:
        return path
    section, rest = path[0], path[2:]
    entries = value.get(section, {}) if isinstance(value, dict) else {}
    kind = get_type_hints(Document, include_extras=False)[section]
    for name, entry in entries.items():
        try:
            msgspec.convert({name: entry}, kind, strict=True)
        except msgspec.ValidationError:
            return (section, name, *rest)
    return (section,)


_SECTIONS: dict[str, Any] = {
    "services": Service,
    "engines": Engine,
    "pools": Pool,
    "callers": Caller,
    "rules": Rule,
    "workers": WorkerState,
}


def _check_keys(value: Any) -> None:
    if not isinstance(value, dict):
        raise _CheckError("the merged configuration isn't an object", ())
    _check_known(value, Document, ())
    objective = value.get("objective")
    if isinstance(objective, dict):
        _check_known(objective, Objective, ("objective",))
    for section, kind in _SECTIONS.items():
        entries = value.get(section)
        if not isinstance(entries, dict):
            continue
        for name, entry in entries.items():
            if isinstance(entry, dict):
                _check_known(entry, kind, (section, name))


def _check_known(
    value: dict[str, Any], kind: Any, path: tuple[str, ...]
) -> None:
    known = kind.__annotations__
    for key in value:
        if key not in known:
            raise _CheckError("unknown key", (*path, key))


_POSITIVE = (
    "first_token_s",
    "token_gap_s",
    "max_prompt_tokens",
    "max_output_tokens",
    "timeout_s",
    "weight",
    "slots",
    "link_bytes_s",
    "kv_ttl_s",
)


def _check_ranges(document: Document) -> None:
    for section in ("services", "engines", "callers"):
        entries: dict[str, Any] = document.get(section, {})  # type: ignore[assignment]
        for name, entry in entries.items():
            for key in _POSITIVE:
                if key in entry and entry[key] <= 0:
                    raise _CheckError("must be above 0", (section, name, key))
    for key, weight in document["objective"].items():
        if not isinstance(weight, float | int) or weight < 0:
            raise _CheckError("must be at least 0", ("objective", key))


def _check_references(document: Document) -> None:
    services = document["services"]
    engines = document.get("engines", {})
    for name, pool in document["pools"].items():
        service = services.get(pool["service"])
        if service is None:
            raise _CheckError("no such service", ("pools", name, "service"))
        if (service["kind"] == "plain") != (pool["role"] == "plain"):
            raise _CheckError(
                "role doesn't fit the kind of the service",
                ("pools", name, "role"),
            )
        if pool["role"] != "plain" and pool.get("engine") not in engines:
            raise _CheckError("no such engine", ("pools", name, "engine"))
    for name, rule in document["rules"].items():
        if rule["service"] not in services:
            raise _CheckError("no such service", ("rules", name, "service"))
        if rule["caller"] not in (ANY_CALLER, *document["callers"]):
            raise _CheckError("no such caller", ("rules", name, "caller"))
    _check_caller_keys(document)


def _check_caller_keys(document: Document) -> None:
    seen: dict[str, str] = {}
    for name, caller in document["callers"].items():
        digest = caller["key_sha256"]
        if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
            raise _CheckError(
                "must be 64 lower-case hex digits",
                ("callers", name, "key_sha256"),
            )
        if digest in seen:
            raise _CheckError(
                f"same key as caller {seen[digest]}",
                ("callers", name, "key_sha256"),
            )
        seen[digest] = name

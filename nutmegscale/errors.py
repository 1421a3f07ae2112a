"""Exception types of the package and the failure record sent to callers."""

from typing import Literal
from typing import NamedTuple

Outcome = Literal["not_run", "maybe_run", "ran"]


class NutmegscaleError(Exception):
    """Base class of every exception that the package raises."""


class SettingsError(NutmegscaleError):
    """A settings file can't be read or has a wrong value."""


class ConfigError(NutmegscaleError):
    """A configuration folder is invalid.

    Attributes:
      file: Name of the file, or "" when no single file is at fault.
      line: Line in the file, from 1; 0 when unknown.
      key: Dotted path of the key at fault.
    """

    def __init__(
        self, message: str, *, file: str = "", line: int = 0, key: str = ""
    ) -> None:
        self.file = file
        self.line = line
        self.key = key
        place = f"{file}:{line}: " if file else ""
        where = f"{key}: " if key else ""
        super().__init__(f"{place}{where}{message}")


class LogError(NutmegscaleError):
    """A log file can't be read."""


class TransportError(NutmegscaleError):
    """A request to another process got no complete answer."""


class ConnectError(TransportError):
    """No connection was made, so the request was never sent."""


class ResponseTimeoutError(TransportError):
    """No answer came in time; the request may have taken effect."""


class ConnectionResetTransportError(TransportError):
    """The connection was reset before the answer was whole."""


class MalformedAnswerError(TransportError):
    """What came back is no answer in the protocol."""


class MalformedRequestError(NutmegscaleError):
    """A caller's request has a header that can't be read."""


class RejectedError(NutmegscaleError):
    """A backend server said that it hasn't run and won't run a request."""


class BackendLeftError(NutmegscaleError):
    """A backend server left before a request was sent to it."""


class MisdirectedError(RejectedError):
    """Another backend server has the address now; nothing was run."""


class MalformedEntryError(NutmegscaleError):
    """A row of the platform's store can't be read as what it should be."""


class StoreError(NutmegscaleError):
    """The platform's store gave no usable answer."""


class StoreRefusedError(StoreError):
    """The store refused a call; nothing was done."""


class HistoryGoneError(StoreError):
    """The store no longer has the changes since a version."""


class PlatformError(NutmegscaleError):
    """The platform's service refused or failed an operation."""


class PlatformUnavailableError(PlatformError):
    """The platform can't be reached; a write may have taken effect."""


class EngineError(NutmegscaleError):
    """A model engine refused or failed an operation."""


class EngineBusyError(EngineError):
    """The engine has no free memory or slot; nothing was started."""


class EngineLeavingError(EngineError):
    """The engine is leaving and takes no new work; nothing was started."""


class KvCacheGoneError(EngineError):
    """The prefill result expired before it was imported."""


class RunGoneError(EngineError):
    """The engine doesn't know the run, or lost it midway."""


class StaleFenceError(EngineError):
    """The engine has seen orders with a higher fencing number."""


class EngineLostError(EngineError):
    """The engine gave no answer; the operation may have taken effect."""


class EngineStalledError(EngineLostError):
    """The engine gave no answer in time; it may be alive."""


class SupersededError(NutmegscaleError):
    """Another host serves the exchange now."""


class PeerError(NutmegscaleError):
    """A peer host gave no usable answer."""


class Failure(NamedTuple):
    """A typed failure as a caller receives it.

    Attributes:
      status: HTTP status code.
      type: Stable machine-readable name.
      message: One sentence for people.
      outcome: Whether the work was run.
      retry_after_s: Seconds after which a retry makes sense, if any.
    """

    status: int
    type: str
    message: str
    outcome: Outcome = "not_run"
    retry_after_s: float | None = None

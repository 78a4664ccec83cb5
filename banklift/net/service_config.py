"""The configuration of a router on the platform: environment variables, the file that they name, and its limits."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import msgspec

from banklift.adapter import WireError, parse_settings
from banklift.discovery import catalogue
from banklift.interface import Settings
from banklift.net.memory_limit import MEGABYTE, MemoryTooSmall, require_memory

ENVIRONMENT_VARIABLES = ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG")
PROBE_TIMEOUT_SECONDS = 0.25  # time for a probe's answer; the platform's settings have no value for it


class ConfigurationError(Exception):
    """The configuration is invalid. The text names the setting and what is wrong with it."""


@dataclass(frozen=True, slots=True)
class StartConfig:
    """A router's configuration on the platform: environment variables and configuration file, checked."""

    name: str
    listen: str  # host:port
    discovery: str  # the catalogue's host:port
    seed: int  # of random numbers
    sockets: int  # descriptors that the process may hold
    initial_catalogue: catalogue.Catalogue | None  # a list of members to start with
    settings: Settings
    link_idle_timeout: float  # seconds after which members close an idle link
    connect_timeout: float  # seconds within which a link has to be connected
    probe_timeout: float  # seconds within which a probe has to be answered
    memory_bytes: float = math.inf  # that the process may have


def _require_object(value: object, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ConfigurationError(f"{name}: an object is needed")
    return value


def _require_address(value: object, name: str) -> str:
    text = value if isinstance(value, str) else ""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigurationError(f"{name}: host:port is needed, not {value!r}")
    return text


def _optional_seconds(table: dict[str, Any], name: str, default: float) -> float:
    value = table.get(name)
    if value is None or (value == 0 and not isinstance(value, bool)):  # absent, or 0 for no limit
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 86_400:
        raise ConfigurationError(f"settings.allowed.{name}: seconds above 0 are needed, not {value!r}")
    return float(value)


def _memory_limit(limits: dict[str, Any]) -> float:
    """The process's memory in bytes, infinite if it is not limited."""
    megabytes = limits.get("memory_mb")
    if megabytes is None:
        return math.inf
    if isinstance(megabytes, bool) or not isinstance(megabytes, int | float) or not 0 < megabytes < math.inf:
        raise ConfigurationError(f"limits.memory_mb: a number above 0 is needed, not {megabytes!r}")
    return megabytes * MEGABYTE


def read_configuration(environment: dict[str, str]) -> StartConfig:
    """Read the environment variables and the file that `ROUTER_CONFIG` names.

    Errors: `ConfigurationError` if a variable is not set, the file can't be read, or a value is invalid.
    """
    for variable in ENVIRONMENT_VARIABLES:
        if not environment.get(variable):
            raise ConfigurationError(f"the variable {variable} is not set")
    path = environment["ROUTER_CONFIG"]
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    try:
        config = _require_object(msgspec.json.decode(data), path)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{path}: not JSON: {error}") from None
    try:
        return parse(config, environment)
    except ConfigurationError as error:
        raise ConfigurationError(f"{path}: {error}") from None


def parse(config: dict[str, Any], environment: dict[str, str]) -> StartConfig:
    """Check the decoded configuration file. Its name and addresses take precedence over the environment's.

    Errors: `ConfigurationError` if a value is invalid.
    """

    def setting_or_variable(name: str, variable: str) -> object:
        return environment[variable] if config.get(name) is None else config[name]

    settings = _require_object(config.get("settings"), "settings")
    limits = _require_object(config.get("limits") or {}, "limits")
    sockets = 1024 if limits.get("sockets") is None else limits["sockets"]
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 64:
        raise ConfigurationError(f"limits.sockets: a number from 64 is needed, not {sockets!r}")
    try:
        parsed = parse_settings(settings)
    except (WireError, KeyError, TypeError, ValueError) as error:
        text = f"lacks {error}" if isinstance(error, KeyError) else str(error)
        raise ConfigurationError(f"settings: {text}") from None
    allowed = _require_object(settings.get("allowed") or {}, "settings.allowed")
    try:
        seed = int(str(config.get("seed") or "0"), 16)
        known = catalogue.from_json(config["known"]) if config.get("known") else None
    except (ValueError, catalogue.CatalogueError) as error:
        raise ConfigurationError(f"seed or known: {error}") from None
    return StartConfig(
        name=str(config.get("name") or environment["ROUTER_NAME"]),
        listen=_require_address(setting_or_variable("listen", "ROUTER_LISTEN"), "listen"),
        discovery=_require_address(setting_or_variable("discovery", "ROUTER_DISCOVERY"), "discovery"),
        seed=seed,
        sockets=sockets,
        initial_catalogue=known,
        settings=parsed,
        link_idle_timeout=_optional_seconds(allowed, "conn_idle_s", 30.0),
        connect_timeout=_optional_seconds(allowed, "connect_timeout_s", 0.25),
        probe_timeout=PROBE_TIMEOUT_SECONDS,
        memory_bytes=_memory_limit(limits),
    )


def require_configured_memory(config: StartConfig, at_rest_bytes: int | None) -> None:
    """Check that the process can work within its limit. Errors: `ConfigurationError` with the limit that is needed."""
    try:
        require_memory(config.memory_bytes, at_rest_bytes)
    except MemoryTooSmall as error:
        raise ConfigurationError(f"limits.memory_mb: {error}") from None

"""Settings files of the stand-in targets."""

import pathlib
from typing import TypeVar

import pydantic
import yaml


class FaultSettings(pydantic.BaseModel):
    """Faults to inject; `POST /v1/faults` changes them at run time.

    An index is a token index of a chat answer or a position of a stage; -1
    switches the fault off.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    only_marker: str = ""
    """Answer faults apply only to prompts with this text; empty for all."""
    crash_marker: str = ""
    """The process exits when it runs a request that contains this text."""
    crash_at: int = -1
    freeze: bool = False
    """Requests make no progress while heartbeats continue."""
    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    wrong_request_id_at: int = -1
    duplicate_at: int = -1
    skip_at: int = -1
    malformed_at: int = -1
    close_at: int = -1
    refuse: bool = False
    silent_heartbeats: bool = False


class TargetSettings(pydantic.BaseModel):
    """Settings that engines and services share."""

    model_config = pydantic.ConfigDict(extra="forbid")

    target_id: str
    listen: str = "127.0.0.1:0"
    advertise: str = ""
    """Base URL announced to the VMs; default `http://` and bound address."""
    data_centre: str
    announce_to: tuple[str, ...] = ()
    """Target interfaces (`IP:port`) of the VMs, tried in order."""
    token: str = ""
    """Bearer token for the VMs' target interfaces."""
    heartbeat_s: float = pydantic.Field(default=0.5, gt=0)
    report_lag_s: float = pydantic.Field(default=0.0, ge=0)
    slots: int = pydantic.Field(default=4, gt=0)
    max_queued: int = pydantic.Field(default=64, ge=0)
    max_executions: int = pydantic.Field(default=1_000_000, ge=0)
    """Capacity of the executions log, in entries."""
    faults: FaultSettings = pydantic.Field(default_factory=FaultSettings)


class EngineSettings(TargetSettings):
    """Settings of a model engine."""

    model: str = "m"
    version: str = "1"
    adapters: tuple[str, ...] = ()
    first_layer: int = pydantic.Field(default=0, ge=0)
    last_layer: int = pydantic.Field(default=7, ge=0)
    total_layers: int = pydantic.Field(default=8, gt=0)
    accelerator: str = "kind-a"
    prefill_tokens_per_second: float = pydantic.Field(default=5000.0, gt=0)
    tokens_per_second: float = pydantic.Field(default=100.0, gt=0)
    batch_slowdown: float = pydantic.Field(default=0.0, ge=0)
    """Relative slowdown of decoding per additional running request."""
    cache_blocks: int = pydantic.Field(default=1024, ge=0)
    cache_event_lag_s: float = pydantic.Field(default=0.0, ge=0)
    cache_event_gap: int = pydantic.Field(default=0, ge=0)
    """Every n-th cache event is lost; 0 for none."""
    checks_fencing: bool = True
    send_buffer_bytes: int = pydantic.Field(default=0, ge=0)
    """Size of the kernel's send buffer; 0 for the system default."""
    load_seconds: float = pydantic.Field(default=1.0, ge=0)
    """Time to load weights from the weight store."""


class ServiceSettings(TargetSettings):
    """Settings of a plain service."""

    service: str = "records"
    lookups: tuple[str, ...] = ("lookup", "status")
    """Operations that only read."""
    delay_s: float = pydantic.Field(default=0.0, ge=0)


Settings = TypeVar("Settings", bound=TargetSettings)


def load_settings(path: pathlib.Path, kind: type[Settings]) -> Settings:
    """Loads a YAML settings file into the model `kind`."""
    data = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    return kind.model_validate(data)

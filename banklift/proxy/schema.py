"""Types shared by all parts of the operator's file. Times are seconds."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)]


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of the file's tables; unknown keys are rejected."""

"""The settings of one router.

They say where this process is and how it reaches its surroundings. What it
routes comes from records, never from here. In code, construct `Settings` with
its sections as keyword arguments; secrets are `SecretStr` and `SecretBytes`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar, Self

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ModelWrapValidatorHandler,
    PrivateAttr,
    SecretBytes,
    SecretStr,
    ValidationInfo,
    field_validator,
    model_validator,
)

from dotterelpaddle.config import base, defaults
from dotterelpaddle.config.options import (
    BaseUrl,
    LogLevel,
    PlacementPolicy,
    SocketAddress,
    resolve_secret,
)
from dotterelpaddle.control.authentication import MAX_KEY_SIZE, MIN_KEY_SIZE
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.logs import Level
from dotterelpaddle.placement.policies import OwnerPolicy

if TYPE_CHECKING:
    from pathlib import Path

NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$"


class Section(BaseModel):
    """A part of the settings; unknown fields are errors.

    Attributes:
        secret_fields: Fields that may come from a file or the environment.
        optional_secret_fields: Those of them that need not be given.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)

    secret_fields: ClassVar[tuple[str, ...]] = ()
    optional_secret_fields: ClassVar[tuple[str, ...]] = ()

    _inline_secrets: tuple[str, ...] = PrivateAttr(default=())

    @property
    def inline_secrets(self) -> tuple[str, ...]:
        """Secret fields whose secret stands in the settings themselves."""
        return self._inline_secrets

    @model_validator(mode="wrap")
    @classmethod
    def _resolve_secrets(
        cls, data: Any, build: ModelWrapValidatorHandler[Self], info: ValidationInfo
    ) -> Self:
        given = data if isinstance(data, dict) else {}
        inline = tuple(each for each in cls.secret_fields if given.get(each))
        for field in cls.secret_fields:
            required = field not in cls.optional_secret_fields
            data = resolve_secret(
                data=data, secret=field, required=required, sources=info.context
            )
        section = build(data)
        section._inline_secrets = inline
        return section


class OperatorSettings(Section):
    """The interface for operators.

    Attributes:
        address: Where operators reach it.
        token: Bearer token that operators must show.
    """

    secret_fields = ("token",)

    address: SocketAddress
    token: SecretStr


class ControlSettings(Section):
    """The channel between routers.

    Attributes:
        address: Where other routers reach it, by UDP and TCP.
        key: Key of the whole fleet, which authenticates messages.
        accepted_key: A second key that is accepted while keys are changed.
        bytes_per_second: Control traffic that this router may send.
    """

    secret_fields = ("key", "accepted_key")
    optional_secret_fields = ("accepted_key",)

    address: SocketAddress
    key: SecretBytes
    accepted_key: SecretBytes | None = None
    bytes_per_second: int = Field(
        strict=True, default=defaults.CONTROL_BYTES_PER_SECOND, ge=200, le=1_000_000
    )

    @property
    def accepted_keys(self) -> tuple[bytes, ...]:
        """Keys that are accepted beside the fleet's key."""
        if self.accepted_key is None:
            return ()
        return (self.accepted_key.get_secret_value(),)

    @field_validator("key", "accepted_key")
    @classmethod
    def _check_key(cls, value: SecretBytes | None) -> SecretBytes | None:
        if value is None:
            return None
        if not MIN_KEY_SIZE <= len(value.get_secret_value()) <= MAX_KEY_SIZE:
            raise ValueError(f"a key has {MIN_KEY_SIZE} to {MAX_KEY_SIZE} characters")
        return value


class PlatformSettings(Section):
    """The platform's service.

    Attributes:
        url: Its address.
        token: Bearer token that it asks for.
        timeout: Seconds after which a call counts as lost.
    """

    secret_fields = ("token",)

    url: BaseUrl
    token: SecretStr
    timeout: float = Field(strict=True, default=defaults.PLATFORM_TIMEOUT, gt=0, le=60)


class LimitSettings(Section):
    """Bounds that protect this process.

    Attributes:
        body_bytes: Longest body of a caller's request.
        in_flight: Callers' requests held at a time.
    """

    body_bytes: int = Field(strict=True, default=defaults.BODY_BYTES, ge=1024)
    in_flight: int = Field(strict=True, default=defaults.IN_FLIGHT, ge=1)


class ShutdownSettings(Section):
    """How this process ends.

    Attributes:
        grace: Seconds that requests in flight get to end.
        leave_delay: Seconds for which new requests are still taken after this
            router has said that it leaves, so that the balancer can follow.
    """

    grace: float = Field(strict=True, default=defaults.SHUTDOWN_GRACE, ge=0)
    leave_delay: float = Field(strict=True, default=defaults.LEAVE_DELAY, ge=0)


class Settings(Section):
    """All settings of one router.

    Attributes:
        router: Name of this router, unique in the fleet.
        failure_domain: Failure domain of its host.
        listen: Where callers reach it.
        operator: The interface for operators.
        control: The channel between routers.
        platform: The platform's service.
        seeds: Control addresses of some other routers, to join the fleet while
            the platform's host list can't be had.
        limits: Bounds that protect this process.
        shutdown: How this process ends.
        policy: How endpoints are chosen.
        log_level: Lowest level of log lines that are written.
    """

    router: RouterId = Field(pattern=NAME_PATTERN, max_length=64)
    failure_domain: FailureDomain = Field(pattern=NAME_PATTERN, max_length=64)
    listen: SocketAddress
    operator: OperatorSettings
    control: ControlSettings
    platform: PlatformSettings
    seeds: tuple[SocketAddress, ...] = ()
    limits: LimitSettings = LimitSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    policy: PlacementPolicy = OwnerPolicy()
    log_level: LogLevel = Level.INFO

    def warnings(self) -> tuple[str, ...]:
        """List what is allowed but unwise outside tests."""
        sections = {
            "operator": self.operator,
            "control": self.control,
            "platform": self.platform,
        }
        return tuple(
            f"{name}.{secret}: stands in the settings; "
            f"give {secret}_file or {secret}_env instead"
            for name, section in sections.items()
            for secret in section.inline_secrets
        )


def load_settings(*, path: Path) -> Settings:
    """Read the settings of a router from a YAML file.

    Raises:
        SettingsError: If the file can't be read or a field is wrong.
    """
    return base.load(path=path, model=Settings)

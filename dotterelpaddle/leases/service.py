"""Keeps one lease for this process."""

from __future__ import annotations

import secrets
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.backing.interface import Transaction, Write
from dotterelpaddle.clock import monotonic
from dotterelpaddle.exceptions import (
    LeaseLost,
    PlatformAnswerLost,
    PlatformUnavailable,
    TableConflict,
)
from dotterelpaddle.leases.lease import (
    FindAttempt,
    Lease,
    Pause,
    ReadRow,
    Step,
    WriteRow,
)
from dotterelpaddle.leases.row import decode, encode, key_of
from dotterelpaddle.leases.settings import LeaseSettings
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from dotterelpaddle.backing.interface import Table
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import LeaseEpoch, RouterId

log = get_logger(name=__name__)

NONCE_BYTES = 4
"""Random bytes that tell a process from an earlier one of the same name."""


class LeaseHandle:
    """A lease that this process holds or contends for.

    Args:
        name: Name of the lease.
        lease: Its state.
        clock: Source of time.
        wake: Makes whoever keeps the lease look at it now.
    """

    def __init__(
        self, *, name: str, lease: Lease, clock: Clock, wake: Callable[[], None]
    ) -> None:
        self._name = name
        self._lease = lease
        self._clock = clock
        self._wake = wake

    @property
    def name(self) -> str:
        """Name of the lease."""
        return self._name

    @property
    def held(self) -> bool:
        """Whether this process may act as the holder now."""
        return self._lease.held(now=self._clock())

    @property
    def epoch(self) -> LeaseEpoch:
        """Fencing number of the current or last tenure, 0 before the first."""
        return self._lease.epoch

    @property
    def held_for(self) -> float:
        """Seconds since the current or last tenure began."""
        return self._clock() - self._lease.since

    @property
    def contending(self) -> bool:
        """Whether to take the lease when it is free."""
        return self._lease.contending

    @contending.setter
    def contending(self, contending: bool) -> None:
        self._lease.contending = contending

    def resign(self, *, seconds: float) -> None:
        """Give the lease up and leave it to others for a while."""
        self._lease.release(until=self._clock() + seconds)
        self._wake()

    def check(
        self, *, epoch: LeaseEpoch | None = None, seconds: float = 0.0
    ) -> LeaseEpoch:
        """Make sure that this process may act as the holder.

        Args:
            epoch: Tenure under which the act began, None for any.
            seconds: How long the act takes at most.

        Returns:
            The fencing number.

        Raises:
            LeaseLost: If the lease is not held, not for long enough, or was lost
                and taken again meanwhile.
        """
        remaining = self._lease.remaining(now=self._clock())
        if remaining <= 0.0:
            raise LeaseLost(f"the lease '{self._name}' is not held here")
        if remaining <= seconds:
            raise LeaseLost(f"the lease '{self._name}' may lapse within {seconds} s")
        if epoch is not None and epoch != self._lease.epoch:
            raise LeaseLost(f"the lease '{self._name}' has been lost in between")
        return self._lease.epoch


@asynccontextmanager
async def run_lease(
    *,
    name: str,
    holder: RouterId,
    table: Table,
    clock: Clock = monotonic,
    settings: LeaseSettings | None = None,
) -> AsyncIterator[LeaseHandle]:
    """Contend for a lease, keep it while the context lasts, release it then.

    A cancelled context releases nothing, so the others wait until it lapses.

    Args:
        name: Name of the lease.
        holder: This router.
        table: The platform's table of leases.
        clock: Source of time.
        settings: Times of the lease.

    Yields:
        The lease; nothing is held at first.
    """
    settings = settings or LeaseSettings()
    lease = Lease(
        name=name,
        holder=f"{holder}-{secrets.token_hex(NONCE_BYTES)}",
        settings=settings,
    )
    keeper = _Keeper(name=name, lease=lease, table=table, clock=clock)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(keeper.run)
        yield LeaseHandle(name=name, lease=lease, clock=clock, wake=keeper.wake)
        with anyio.move_on_after(settings.release_timeout):
            await keeper.release()
        tasks.cancel_scope.cancel()


class _Keeper:
    """Carries out the steps of a lease."""

    def __init__(self, *, name: str, lease: Lease, table: Table, clock: Clock) -> None:
        self._name = name
        self._lease = lease
        self._table = table
        self._clock = clock
        self._wake = anyio.Event()
        self._released = anyio.Event()

    async def run(self) -> None:
        """Carry out steps until there is nothing left to give up."""
        epoch = self._lease.epoch
        while not self._lease.released:
            step = self._lease.next_step(now=self._clock())
            await self._carry_out(step=step)
            if self._lease.epoch != epoch:
                epoch = self._lease.epoch
                log.info("lease_acquired", lease=self._name, epoch=epoch)
        self._released.set()

    def wake(self) -> None:
        """Look at the lease now."""
        self._wake.set()

    async def release(self) -> None:
        """Give the lease up."""
        self._lease.release()
        self.wake()
        await self._released.wait()

    async def _carry_out(self, *, step: Step) -> None:
        try:
            match step:
                case Pause(until=until):
                    await self._sleep(until=until)
                case ReadRow():
                    await self._read()
                case WriteRow():
                    await self._write(write=step)
                case FindAttempt(attempt=attempt):
                    commit = await self._table.find_attempt(attempt=attempt)
                    revision = None if commit is None else commit.revision
                    self._lease.on_found(revision=revision, now=self._clock())
        except PlatformUnavailable as error:
            self._lease.on_unavailable(now=self._clock())
            log.debug("lease_step_failed", lease=self._name, error=str(error))

    async def _sleep(self, *, until: float) -> None:
        with anyio.move_on_after(until - self._clock()):
            await self._wake.wait()
            # Only the first wake-up counts; a retry of the release must wait.
            self._wake = anyio.Event()

    async def _read(self) -> None:
        rows = await self._table.read(keys=(key_of(name=self._name),))
        self._lease.on_row(row=decode(rows=rows), now=self._clock())

    async def _write(self, *, write: WriteRow) -> None:
        row = Write(
            key=key_of(name=self._name),
            expected=write.expected,
            value=encode(content=write.content),
        )
        transaction = Transaction(attempt=write.attempt, writes=(row,))
        try:
            commit = await self._table.transact(transaction=transaction)
        except TableConflict as conflict:
            self._lease.on_conflict(row=decode(rows=conflict.rows), now=self._clock())
        except PlatformAnswerLost:
            self._lease.on_answer_lost(now=self._clock())
        else:
            self._lease.on_commit(revision=commit.revision, now=self._clock())

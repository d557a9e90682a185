"""Decodes the values of the store's rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.platform.configuration import ConfigurationDecoder
from dotterelpaddle.platform.endpoints import decode_endpoint

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry, FleetConfiguration
    from dotterelpaddle.ids import EndpointName, Revision


class PlatformDocumentDecoder:
    """Decodes the values of the store's rows."""

    def __init__(self) -> None:
        self._configurations = ConfigurationDecoder()

    def configuration(self, *, document: bytes) -> FleetConfiguration:
        """Decode the operator's row."""
        return self._configurations.decode(document=document)

    def endpoint(
        self, *, name: EndpointName, document: bytes, revision: Revision
    ) -> EndpointEntry:
        """Decode the row by which an endpoint registered itself."""
        return decode_endpoint(name=name, document=document, revision=revision)

"""Decodes the documents in the rows of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.platform.configuration import ConfigurationDecoder
from dotterelpaddle.platform.endpoints import decode_endpoint

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry, FleetConfiguration
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import EndpointName


class PlatformDocumentDecoder:
    """Decodes the documents in the rows of the platform's store.

    Args:
        decodes_limits: Whether to decode the limits of endpoints on requests.
    """

    def __init__(self, *, decodes_limits: bool = True) -> None:
        self._configurations = ConfigurationDecoder(decodes_limits=decodes_limits)

    def configuration(self, *, document: bytes) -> FleetConfiguration:
        """Decode the configuration that the operator wrote."""
        return self._configurations.decode(document=document)

    def endpoint(
        self, *, name: EndpointName, document: bytes, revision: StoreRevision
    ) -> EndpointEntry:
        """Decode the entry with which an endpoint registered itself."""
        return decode_endpoint(name=name, document=document, revision=revision)

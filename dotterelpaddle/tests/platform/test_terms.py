"""Tests which terms of the platform switch on admission."""

from __future__ import annotations

import orjson
import pytest

from dotterelpaddle.forwarding.settings import AdmissionSettings, load_settings
from dotterelpaddle.platform.terms import apply_terms
from dotterelpaddle.tests.forwarding.test_settings import VALID


# Guards against queues in deployments whose settings don't ask for them, and against
# processes that are killed as nothing bounds what they hold: a host has as much memory
# whatever terms are in force.
@pytest.mark.parametrize(
    ("terms", "admission", "memory_limit"),
    [
        (["base", "drain"], None, 200_000_000),
        (["base", "pressure"], AdmissionSettings(), 200_000_000),
    ],
)
def test_terms_switch_on_what_they_ask_for(
    tmp_path, terms: list[str], admission: AdmissionSettings, memory_limit: int
) -> None:
    content = {**VALID, "terms": terms}
    del content["admission"]
    path = tmp_path / "settings.yaml"
    path.write_bytes(orjson.dumps(content))

    settings = apply_terms(settings=load_settings(path=path))

    assert settings.admission == admission
    assert settings.memory_limit == memory_limit

"""Nothing in the program or the deploy file knows a deployment: names and figures come from its settings."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PROGRAM = ("burlshift",)
# Those of this repository always, and the operators' own where they lie beside it.
SITES = [
    p
    for p in sorted([*ROOT.glob("deploy/sites/*/*.toml"), *ROOT.glob("../given/kit/**/*.toml")])
    if "class" in tomllib.loads(p.read_text())
]


def names(site: Path) -> set[str]:
    doc = tomllib.loads(site.read_text())
    found = {doc["name"], *doc["net"]["zones"]}
    found |= {entry["name"] for table in ("class", "tenant", "tier") for entry in doc.get(table, ())}
    return found | {kind["name"] for tier in doc["tier"] for kind in tier["kind"]}


def test_there_are_sites_to_check() -> None:
    assert {"quay-tariff", "delta-orchard"} <= {p.stem for p in SITES}
    quay, delta = (ROOT / f"deploy/sites/{name}/{name}.toml" for name in ("quay-tariff", "delta-orchard"))
    assert {"tariff-lookup", "sjoe", "oak-2", "ledger-api"} <= names(quay)
    assert {"northbank", "grove", "fir-2"} <= names(delta)


@pytest.mark.parametrize("site", SITES, ids=lambda p: p.stem)
def test_no_name_of_a_site_stands_in_the_program(site: Path) -> None:
    word = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in names(site)))
    files = [ROOT / "deploy/balancer.toml", *(p for part in PROGRAM for p in (ROOT / part).rglob("*.py"))]
    assert len(files) > 30
    assert not [(str(f), m[0]) for f in files for m in word.finditer(f.read_text())]

"""Translates a deployment's settings in JSON for the agent and the simulator's adapter."""

from __future__ import annotations

from typing import Any

from . import interface

EFFECTS = {
    "retryable": interface.Effect.SAFE,
    "dedup": interface.Effect.KEYED,
    "fragile": interface.Effect.UNSAFE,
}


class SettingsError(Exception):
    """Invalid settings; the message says what is wrong."""


def settings_from(document: dict[str, Any]) -> interface.Settings:
    """Translate a settings document; unknown keys are ignored.

    Raises SettingsError, which names the key or field, if a required key is missing or a value is invalid.
    """
    try:
        allowed, rules, prices = document["allowed"], document["rules"], document.get("prices", {})
        report = document.get("report", {})
        classes = tuple(
            interface.RequestClass(
                name=str(profile["name"]),
                aim_us=int(profile["aimUs"]),
                deadline_us=int(profile["deadlineUs"]),
                effect=EFFECTS[profile["repeat"]],
                group=interface.Group(profile.get("dedupScope", "all")),
                window_us=int(profile.get("memorySpanUs", 0)),
                worth=float(profile.get("value", 1.0)),
                late_worth=float(profile.get("lateWorth", 0.0)),
                aim_stretch=float(profile.get("aimStretch") or 0.0),
            )
            for profile in document["profiles"]
        )
        tenants = tuple(
            interface.Tenant(
                str(tenant["name"]), float(tenant.get("quotaPerS") or 0.0), float(tenant.get("share") or 0.0)
            )
            for tenant in document.get("tenants") or ()
        )
        return interface.Settings(
            classes=classes,
            tenants=tenants,
            zone=int(document.get("zone", 0)),
            siblings=int(document["siblings"]),
            me=int(document.get("me", 0)),
            can_tell=bool(allowed.get("peers")),
            report_fields=tuple(report.get("columns") or ()) if report.get("source") != "off" else (),
            discovery=interface.Discovery(document["registryMode"]),
            ask_within_us=int(rules.get("askWithinUs") or 10_000_000),
            can_cancel=bool(allowed["cancel"]),
            can_probe=bool(allowed["probes"]),
            second_copies=bool(allowed["secondCopies"]),
            max_attempts=int(allowed["maxAttempts"]),
            retry_after=bool(allowed.get("retryAfter")),
            max_retry_after_us=int(allowed.get("maxRetryAfterUs") or 0),
            tick_us=int(document["quantumUs"]),
            answer_slack_us=int(rules.get("graceToAnswerUs") or 0),
            over_share_worth=float(document.get("overShareWorth", 1.0)),
            capacity_hints=document.get("weightKind", "off") != "off",
            start_fraction=float(rules["startCapacity"]),
            warm_up_us=int(rules["warmUpUs"]),
            fall_multiple=float(rules["fallMultiple"]),
            fall_window_us=int(rules["tipAfterUs"]),
            prices=interface.Prices(
                cross_zone=float(prices.get("crossZone", 0.0)),
                waste=float(prices.get("waste", 0.0)),
                late_fail=float(prices.get("lateFail", 0.0)),
                probe=float(prices.get("probe", 0.0)),
                peer=float(prices.get("peer", 0.0)),
            ),
        )
    except KeyError as error:
        raise SettingsError(f"settings: missing key or unknown value: {error}") from None
    except (TypeError, AttributeError, ValueError, OverflowError) as error:
        raise SettingsError(f"settings: {error}") from None

"""What a balancer is told of a scenario: its settings by the configuration's names.

Owns: the one translation, used for real processes (as JSON) and in virtual time (read back as they read it).
Must never: tell a balancer what only the lab knows, such as speeds, loads or troubles.
"""

from __future__ import annotations

from typing import Any

from switchhub.decision.interface import Settings
from switchhub.lab.scenario import Scenario
from switchhub.net.config import flatten
from switchhub.wirehost.settings import read_settings

_REPEAT_SETTINGS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}


def balancer_zone(scenario: Scenario, balancer: int) -> int:
    """Balancers are spread over the zones in turn."""
    return balancer % len(scenario.zones)


def configuration(scenario: Scenario, balancer: int) -> dict[str, Any]:
    """The settings of one balancer, as its configuration nests them."""
    quotas = [each.connections for each in scenario.tenants]
    return {
        "Allowed": {
            "DialTimeout": scenario.balancers.dial_ms,
            "MaxAttempts": scenario.balancers.attempts,
            "MaxRetryAfter": scenario.balancers.retry_after_ms,
            "Probes": False,
            "RetryAfter": scenario.balancers.retry_after_ms > 0,
        },
        "Az": balancer_zone(scenario, balancer),
        "Classes": [
            {
                "Name": each.name,
                "Repeat": _REPEAT_SETTINGS[each.repeat],
                "KeyScope": each.scope,
                "KeyTtl": each.window_ms,
                "Deadline": each.deadline_ms,
                "GoalTime": each.setup_aim_ms,
                "Worth": each.worth,
            }
            for each in scenario.classes
        ],
        "Customers": [{"Name": each.name, "Share": each.share} for each in scenario.tenants],
        "Discovery": "ask",
        "FamilyInfo": {
            "Groups": False,
            "MessageAim": [each.message_aim_ms for each in scenario.classes],
            "TellsLoad": True,
            "TellsDelay": False,
            **({"TenantQuotaConnections": quotas} if all(quotas) else {}),
        },
        "FleetSize": scenario.balancers.count,
        "Localities": list(scenario.zones),
        "Rules": {
            "AskWithin": scenario.discovery.ask_within_s * 1000,
            "Cold": scenario.cold.seconds * 1000,
            "ColdFrom": scenario.cold.share,
            "DrainGrace": scenario.grace_ms,
            "Fall": scenario.cold.fall_s * 1000,
            "FallMultiple": scenario.cold.fall_multiple,
        },
        "Shapes": sorted({each.kind for each in scenario.servers}),
    }


def decision_settings(scenario: Scenario, balancer: int) -> Settings:
    """The same, as the decision module takes them."""
    return read_settings(flatten(configuration(scenario, balancer)))

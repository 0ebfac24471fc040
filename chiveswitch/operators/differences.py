"""Compares two bundles by the names of their parts, so that an approver can review a change."""

from chiveswitch.core import bundles

PARTS = ("services", "accounts", "models", "operators")


def changed_fields(old, new) -> list:
    """Returns a text `field: old -> new` for each field in which two records differ."""
    old_values, new_values = bundles.to_json_object(old), bundles.to_json_object(new)
    return [
        f"{name}: {format_value(old_values[name])} -> {format_value(new_values[name])}"
        for name in old_values
        if old_values[name] != new_values[name]
    ]


def format_value(value) -> str:
    """Returns a field's value as text."""
    if isinstance(value, list):
        return "[" + ", ".join(str(item) for item in value) + "]"
    return "none" if value is None else str(value)


def diff_bundles(old: bundles.Bundle | None, new: bundles.Bundle) -> dict:
    """Returns the changes from one bundle to another.

    Args:
        old: The bundle in force, or None before the first roll.
        new: The bundle to approve.

    Returns:
        For each part (`services`, `accounts`, `models`, `operators`) a dict with the lists of names
        `added` and `removed`, and with `changed`, the texts of changed fields by name.
    """
    changes_by_part = {}
    for part in PARTS:
        old_by_name = {record.name: record for record in (getattr(old, part) if old else [])}
        new_by_name = {record.name: record for record in getattr(new, part)}
        changed = {}
        for name, record in new_by_name.items():
            if name in old_by_name and record != old_by_name[name]:
                changed[name] = changed_fields(old_by_name[name], record)
        changes_by_part[part] = {
            "added": [name for name in new_by_name if name not in old_by_name],
            "removed": [name for name in old_by_name if name not in new_by_name],
            "changed": changed,
        }
    return changes_by_part


def format_lines(changes_by_part: dict) -> list:
    """Returns the result of `diff_bundles` as lines: `+` added, `-` removed, `~` changed."""
    lines = []
    for part, changes in changes_by_part.items():
        lines.extend(f"+ {part} {name}" for name in changes["added"])
        lines.extend(f"- {part} {name}" for name in changes["removed"])
        for name, fields in changes["changed"].items():
            lines.extend(f"~ {part} {name} {text}" for text in fields)
    return lines or ["no difference in services, accounts, models and operators"]

"""Digest of the settings that a class's estimates depend on."""

from __future__ import annotations

from hashlib import blake2b

from ... import interface as api

DIGEST_SIZE = 8  # bytes


def class_settings_digest(settings: api.Settings, class_settings: api.ClassSettings) -> str:
    """Return a digest of all settings that a class's estimates depend on."""
    machine_types = sorted(
        {(machine_type.cores, machine_type.memory_mb) for machine_type in settings.machine_types}
    )
    text = repr(
        (
            class_settings.name,
            class_settings.threads,
            class_settings.is_bulk_load,
            class_settings.is_streaming,
            settings.reports_work,
            machine_types,
        )
    )
    return blake2b(text.encode(), digest_size=DIGEST_SIZE).hexdigest()

"""Settings files and engine lists.

They are JSON, validated by a JSON Schema (2020-12). All errors of a file are reported together, each with its
location.
"""

from .check import Problem, load_json, problems_of
from .engines import EngineRecord, parse_engines
from .errors import ConfigError
from .settings import Config, Matcher, load_config, parse_config, schema_text

__all__ = [
    "Config",
    "ConfigError",
    "EngineRecord",
    "Matcher",
    "Problem",
    "load_config",
    "load_json",
    "parse_config",
    "parse_engines",
    "problems_of",
    "schema_text",
]

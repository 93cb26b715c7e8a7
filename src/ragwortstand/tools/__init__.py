"""ragwortstand.tools: load, time line and stand-ins."""

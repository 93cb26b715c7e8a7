"""ragwortstand.tools: load generators, log analysis and stand-ins."""

"""ragwortstand.operators: the daemon's admin API and its command line."""

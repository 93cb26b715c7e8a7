"""ragwortstand.operators: the side that operators talk to."""

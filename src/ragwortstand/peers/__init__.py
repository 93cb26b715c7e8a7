"""ragwortstand.peers: the other daemons."""

"""ragwortstand.peers: communication with the other daemons."""

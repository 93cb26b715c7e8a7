"""ragwortstand.peers: membership of daemons and messages between them."""

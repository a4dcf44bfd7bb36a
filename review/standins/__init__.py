"""Small stand-ins for the platform: control feed, compute nodes, clients; and the start of a dispatcher."""

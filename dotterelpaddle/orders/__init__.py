"""Orders to engines: one router a pool makes them serve what the records ask."""

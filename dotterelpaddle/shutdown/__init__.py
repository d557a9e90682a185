"""What a router that stops as planned still takes, and when it ends the rest."""

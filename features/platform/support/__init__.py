"""A small stand-in of the users' platform on loopback, by its published pages."""

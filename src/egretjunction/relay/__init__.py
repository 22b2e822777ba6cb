"""Entry and agent daemons that relay opaque flows without terminating them."""

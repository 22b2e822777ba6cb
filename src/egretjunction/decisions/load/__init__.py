"""Load of backend servers, and the placement of requests by it."""
